//! A process of the project, started with the command of the deploy file.

use crate::{http::read_head, record::Record};
use std::{
    fs::{self, File},
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

/// Variable with the path of the settings file, as the pages name it.
const SETTINGS_VARIABLE: &str = "CAROBWHEEL_BOOT";

pub struct Instance {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    program: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Arc<Record>,
}

/// Regions by zone, as JSON.
pub type Zones<'a> = &'a [(&'a str, &'a str)];

/// Ports below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u32> = 20_000..30_000;

/// Address whose port is free for TCP and UDP, a different one at each call.
fn free_port() -> SocketAddr {
    static CALLS: AtomicU32 = AtomicU32::new(0);
    let count = PORTS.end - PORTS.start;
    loop {
        let call = CALLS.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + (std::process::id() * 61 + call) % count;
        let address: SocketAddr = format!("127.0.0.1:{port}").parse().expect("an address");
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Instance {
    /// Settings like those of the small deployments.
    pub fn new(record: &Arc<Record>, folder: &Path, name: &str, zone: &str, zones: Zones<'_>, store: SocketAddr) -> Instance {
        let [callers, ready, directory, peers, metrics] = [(); 5].map(|()| free_port());
        let regions: Vec<String> =
            zones.iter().map(|(zone, region)| format!("\"{zone}\":\"{region}\"")).collect();
        let region = zones.iter().find(|(known, _)| *known == zone).map_or("", |(_, region)| region);
        let settings = format!(
            "{{\"instance\":\"{name}\",\"data_centre\":\"{zone}\",\"region\":\"{region}\",\
             \"regions\":{{{}}},\"listen\":{{\"callers\":\"{callers}\",\"ready\":\"{ready}\",\
             \"directory\":\"{directory}\",\"peers\":\"{peers}\",\"metrics\":\"{metrics}\"}},\
             \"store\":\"{store}\",\"memory_mb\":260,\"max_descriptors\":4100,\
             \"processor\":{{\"share\":0.25,\"cores\":1}},\"bounds\":{{\"retry_window_s\":10,\
             \"retry_share\":0.2,\"retry_extra\":52,\"limit_extra_tokens\":110000,\
             \"trial_share\":0.1,\"directory_ttl_s\":5,\"stop_grace_s\":8}}}}",
            regions.join(",")
        );
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("the settings can be written");
        let program = std::env::var_os("CAROBWHEEL_PROGRAM")
            .map_or_else(|| PathBuf::from("target/release/carobwheel"), PathBuf::from);
        Instance {
            name: name.to_owned(),
            callers,
            ready,
            settings: path,
            program,
            log: folder.join(format!("{name}.log")),
            child: None,
            record: Arc::clone(record),
        }
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new(&self.program)
            .arg("edge")
            .env_clear()
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.record.line(&format!("{} starts", self.name));
        self.child = Some(child);
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            self.record.line(&format!("{} gets {signal}", self.name));
            let kill = format!("kill -s {signal} {}", child.id());
            let _ = Command::new("sh").args(["-c", &kill]).status();
        }
    }

    /// Whether the process has ended by itself or by a signal.
    pub fn has_ended(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        match child.try_wait() {
            Ok(Some(status)) => {
                self.record.line(&format!("{} has ended: {status}", self.name));
                self.child = None;
                true
            }
            _ => false,
        }
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let asked = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        let head = read_head(&mut BufReader::new(stream));
        asked.is_ok() && matches!(head, Ok(Some(head)) if head.status() == 200)
    }

    /// Waits until it is ready; false after 10 s.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
