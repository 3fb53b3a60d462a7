//! One instance as a process.

use super::{eventually, Caller, CONDITION_TIMEOUT};
use std::{
    fs::{self, File},
    net::{Ipv4Addr, TcpListener, UdpSocket},
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
};

/// Times that a port taken by another process in the meantime is replaced.
const MAX_STARTS: usize = 5;

/// A running process; dropping it kills it.
pub(crate) struct Instance {
    pub(crate) id: String,
    pub(crate) region: &'static str,
    pub(crate) url: String,
    child: Child,
}

impl Instance {
    /// Starts an instance with the settings for a free address for callers and one for other
    /// instances, and waits until it is ready.
    pub(crate) async fn start(
        folder: &Path,
        id: &str,
        region: &'static str,
        settings: impl Fn(&str, &str) -> serde_json::Value,
    ) -> Self {
        for _ in 0..MAX_STARTS {
            let address = format!("127.0.0.1:{}", free_port());
            let peer_address = format!("127.0.0.1:{}", free_udp_port());
            let file = folder.join(format!("{id}.json"));
            fs::write(&file, settings(&address, &peer_address).to_string()).unwrap();
            let log = File::create(folder.join(format!("{id}.log"))).unwrap();
            let child = Command::new(env!("CARGO_BIN_EXE_carobwheel"))
                .args(["serve", "--settings"])
                .arg(&file)
                .stdin(Stdio::null())
                .stdout(log.try_clone().unwrap())
                .stderr(log)
                .spawn()
                .unwrap();
            let mut instance = Self {
                id: id.to_owned(),
                region,
                url: format!("http://{address}"),
                child,
            };
            if instance.is_ready_or_gone().await {
                return instance;
            }
        }
        panic!("{id} did not start; see its log in {}", folder.display());
    }

    async fn is_ready_or_gone(&mut self) -> bool {
        let url = format!("{}/readyz", self.url);
        let client = Caller::http_client();
        let child = &mut self.child;
        eventually("an instance is ready or gone", CONDITION_TIMEOUT, || {
            let is_gone = child.try_wait().unwrap().is_some();
            let asked = client.get(&url).send();
            async move {
                if is_gone {
                    return Some(false);
                }
                let is_ready = asked.await.is_ok_and(|answer| answer.status() == 200);
                is_ready.then_some(true)
            }
        })
        .await
    }

    /// Asks the process to stop.
    pub(crate) fn terminate(&self) {
        self.signal("TERM");
    }

    /// Pauses the process.
    pub(crate) fn pause(&self) {
        self.signal("STOP");
    }

    /// Lets a paused process go on.
    pub(crate) fn resume(&self) {
        self.signal("CONT");
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(sent.unwrap().success(), "signal {name} was not sent");
    }

    /// Kills the process at once.
    pub(crate) fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits for the end of the process.
    pub(crate) async fn exit_status(&mut self) -> ExitStatus {
        let child = &mut self.child;
        eventually("the process ends", CONDITION_TIMEOUT, || {
            let status = child.try_wait().unwrap();
            async move { status }
        })
        .await
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_port() -> u16 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap().port()
}

fn free_udp_port() -> u16 {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    socket.local_addr().unwrap().port()
}
