//! Processes of the system, and the clients that call them.

use crate::http::{read_message, Message};
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Number of the next process.
static NEXT: AtomicU8 = AtomicU8::new(0);

pub const HOST: &str = "rounds.example";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// Temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("carobwheel-review-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A running process of the system; it is killed when dropped.
pub struct Instance {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: std::fs::File,
    child: Child,
}

impl Instance {
    /// Starts `carobwheel edge` as the deploy file does, with settings as its template makes them.
    pub fn start(
        name: &str,
        zone: &str,
        region: &str,
        zones: &[(&str, &str)],
        store: SocketAddr,
        folder: &Path,
    ) -> Self {
        // A loopback address of its own for each process, so that no other one takes its ports.
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let free =
            |_| TcpListener::bind((Ipv4Addr::new(127, 100 + number, high, low.max(1)), 0)).unwrap();
        let listeners: Vec<TcpListener> = (0..5).map(free).collect();
        let addresses: Vec<SocketAddr> = listeners
            .iter()
            .map(|listener| listener.local_addr().unwrap())
            .collect();
        drop(listeners);
        let zones: Vec<String> = zones
            .iter()
            .map(|(zone, region)| format!("\"{zone}\":\"{region}\""))
            .collect();
        let settings = format!(
            "{{\"instance\":\"{name}\",\"data_centre\":\"{zone}\",\"region\":\"{region}\",\"regions\":{{{}}},\
             \"listen\":{{\"callers\":\"{}\",\"ready\":\"{}\",\"directory\":\"{}\",\"peers\":\"{}\",\"metrics\":\"{}\"}},\
             \"store\":\"{store}\",\"bounds\":{{\"stop_grace_s\":8,\"retry_share\":0.2,\"retry_window_s\":10,\"retry_extra\":52,\
             \"limit_extra_tokens\":110000,\"trial_share\":0.1,\"directory_ttl_s\":5}}}}",
            zones.join(","),
            addresses[0],
            addresses[1],
            addresses[2],
            addresses[3],
            addresses[4]
        );
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, settings).unwrap();
        let log = std::fs::File::create(folder.join(format!("{name}.log"))).unwrap();
        let child = spawn(&path, &log);
        Self {
            name: name.to_owned(),
            callers: addresses[0],
            ready: addresses[1],
            settings: path,
            log,
            child,
        }
    }

    /// The process gets SIGTERM.
    pub fn terminate(&self) {
        let _ = Command::new("kill")
            .args(["-TERM", &self.child.id().to_string()])
            .status();
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// The process is killed.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the killed process again, with the same settings.
    pub fn start_again(&mut self) {
        self.child = spawn(&self.settings, &self.log);
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        read_message(&mut BufReader::new(stream)).is_some_and(|answer| answer.status() == 200)
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

fn spawn(settings: &Path, log: &std::fs::File) -> Child {
    Command::new("target/release/carobwheel")
        .arg("edge")
        .env("CAROBWHEEL_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log.try_clone().unwrap())
        .spawn()
        .expect("target/release/carobwheel has to be built")
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Requests that a client sends.
#[derive(Clone)]
pub struct Plan {
    pub method: &'static str,
    pub path: &'static str,
    pub deadline_ms: u64,
    pub pause_ms: u64,
    pub has_prompt: bool,
}

/// A client that keeps its channel and sends one request after the other.
pub fn client(
    record: &Arc<Record>,
    instance: &Instance,
    plan: Plan,
    stop: &Arc<AtomicBool>,
    next: &Arc<AtomicU64>,
) -> thread::JoinHandle<()> {
    let (record, stop, next) = (Arc::clone(record), Arc::clone(stop), Arc::clone(next));
    let (name, address) = (instance.name.clone(), instance.callers);
    thread::spawn(move || {
        let mut channel: Option<BufReader<TcpStream>> = None;
        while !stop.load(Ordering::SeqCst) {
            let number = next.fetch_add(1, Ordering::SeqCst);
            let id = format!("{:016x}", 0x9c41_0000_0000_0000 + number);
            if channel.is_none() {
                channel = TcpStream::connect(address).ok().map(|stream| {
                    let _ = stream.set_nodelay(true);
                    let _ = stream.set_read_timeout(Some(Duration::from_millis(plan.deadline_ms)));
                    BufReader::new(stream)
                });
            }
            let Some(reader) = channel.as_mut() else {
                thread::sleep(Duration::from_millis(100));
                continue;
            };
            let prompt = if plan.has_prompt {
                format!("X-Carobwheel-Model: m\r\nX-Carobwheel-Token-Usage: 60,35\r\nX-Carobwheel-Prompt-Prefix: {:x}:40,{:x}:20\r\n", 0x5c1e_0000 + number % 40, 0xe440_0000 + number)
            } else {
                String::new()
            };
            let body = if plan.method == "GET" { "" } else { "pledge" };
            let text = format!(
                "{} {}{number} HTTP/1.1\r\nHost: {HOST}\r\nX-Carobwheel-Attempt-Id: {id}\r\nX-Carobwheel-Deadline-Ms: {}\r\n\
                 X-Carobwheel-Key: {KEY}\r\n{prompt}Content-Length: {}\r\n\r\n{body}",
                plan.method,
                plan.path,
                plan.deadline_ms,
                body.len()
            );
            record.request(&id, |known, now| {
                known.sent_ms = now;
                known.sent_to.clone_from(&name);
                known.path = format!("{} {}{number}", plan.method, plan.path);
            });
            let answer = match reader.get_mut().write_all(text.as_bytes()) {
                Ok(()) => read_message(reader),
                Err(_) => None,
            };
            note_answer(&record, &id, answer.as_ref());
            let is_kept = answer.as_ref().is_some_and(|answer| {
                answer.is_complete
                    && !answer
                        .header("connection")
                        .is_some_and(|value| value.eq_ignore_ascii_case("close"))
            });
            if !is_kept {
                channel = None;
            }
            thread::sleep(Duration::from_millis(plan.pause_ms));
        }
    })
}

fn note_answer(record: &Record, id: &str, answer: Option<&Message>) {
    record.request(id, |known, now| {
        known.answered_ms = now;
        if let Some(answer) = answer {
            known.status = answer.status();
            known.has_seal = answer.header("x-carobwheel-server-seal").is_some();
            known.is_complete = answer.is_complete;
            known.body = String::from_utf8_lossy(&answer.body).into_owned();
        }
    });
}
