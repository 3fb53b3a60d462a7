//! Test support: real links on loopback, and a UDP relay that can drop flows.

#![allow(dead_code, reason = "each test binary uses only some items")]

pub(crate) mod instance;

use carobwheel_core::id::InstanceId;
use carobwheel_gateway::peers::{
    start, Handle, Inbound, IncomingForward, PeerSettings, PeerStats, Sinks, TlsMaterial,
};
use carobwheel_standin::tls::{CertificateAuthority, InstancePem};
use carobwheel_wire::peer::{encode, encode_head, Hello, Message};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, UdpSocket};
use std::sync::{mpsc, Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// Timeout of every wait; reaching it fails the test.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The links of one instance, with queues of received messages and forwarded requests.
pub(crate) struct Peer {
    pub(crate) id: InstanceId,
    pub(crate) handle: Handle,
    pub(crate) inbound: mpsc::Receiver<Inbound>,
    pub(crate) forwards: mpsc::Receiver<IncomingForward>,
    pub(crate) cancel: CancellationToken,
    thread: Option<JoinHandle<()>>,
}

pub(crate) fn id(name: &str) -> InstanceId {
    name.parse().expect("valid identifier")
}

pub(crate) fn authority() -> CertificateAuthority {
    CertificateAuthority::new("test").expect("authority")
}

pub(crate) fn material(pem: InstancePem) -> TlsMaterial {
    TlsMaterial {
        cert_pem: pem.cert_pem,
        key_pem: pem.key_pem,
        ca_pem: pem.ca_pem,
    }
}

pub(crate) fn issue(authority: &CertificateAuthority, name: &str) -> TlsMaterial {
    material(authority.issue(name).expect("certificate"))
}

impl Peer {
    pub(crate) fn start(authority: &CertificateAuthority, name: &str) -> Self {
        Self::start_with(name, issue(authority, name), |_| {})
    }

    pub(crate) fn start_with(
        name: &str,
        tls: TlsMaterial,
        change: impl FnOnce(&mut PeerSettings),
    ) -> Self {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut settings = PeerSettings::new(id(name), listen, tls);
        change(&mut settings);
        let (inbound_in, inbound) = mpsc::sync_channel(1_024);
        let (forwards_in, forwards) = mpsc::sync_channel(64);
        let sinks = Sinks {
            inbound: Box::new(move |message| inbound_in.try_send(message).is_ok()),
            forward: Box::new(move |forward| {
                // A full queue refuses the request by dropping it.
                let _ = forwards_in.try_send(forward);
            }),
        };
        let cancel = CancellationToken::new();
        let (handle, thread) = start(settings, sinks, cancel.clone()).expect("links start");
        Self {
            id: id(name),
            handle,
            inbound,
            forwards,
            cancel,
            thread: Some(thread),
        }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.handle.local_addr()
    }

    pub(crate) fn send(&self, to: &Peer, message: Message) {
        self.send_via(to, to.addr(), message);
    }

    pub(crate) fn send_via(&self, to: &Peer, addr: SocketAddr, message: Message) {
        let sent = self.handle.send(to.id.clone(), Some(addr), message);
        sent.expect("room in the queue");
    }

    pub(crate) fn next(&self) -> Inbound {
        self.inbound.recv_timeout(TEST_TIMEOUT).expect("a message")
    }

    /// Sends `message` repeatedly until the other side has received one.
    pub(crate) fn send_until_received(&self, to: &Peer, addr: SocketAddr, message: &Message) {
        let start = Instant::now();
        loop {
            self.send_via(to, addr, message.clone());
            if to.inbound.recv_timeout(Duration::from_millis(100)).is_ok() {
                return;
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "no message received");
        }
    }

    pub(crate) fn wait_stats(&self, what: &str, is_reached: impl Fn(&PeerStats) -> bool) {
        wait(what, || is_reached(&self.handle.stats()));
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.cancel.cancel();
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the thread ends");
        }
    }
}

/// Waits until a condition holds.
pub(crate) fn wait(what: &str, mut is_reached: impl FnMut() -> bool) {
    let start = Instant::now();
    while !is_reached() {
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "timed out waiting for: {what}"
        );
        thread::sleep(Duration::from_millis(10));
    }
}

/// Connects to `to` with a valid certificate but claims another name, then sends a message.
pub(crate) async fn claim_name(to: &Peer, tls: &TlsMaterial, name: &str) {
    use rustls::pki_types::{pem::PemObject, CertificateDer, PrivateKeyDer};
    let certs = |pem: &str| -> Vec<CertificateDer<'static>> {
        let parsed = CertificateDer::pem_slice_iter(pem.as_bytes()).collect();
        let parsed: Result<Vec<_>, _> = parsed;
        parsed.expect("PEM")
    };
    let mut roots = rustls::RootCertStore::empty();
    roots.add_parsable_certificates(certs(&tls.ca_pem));
    let key = PrivateKeyDer::from_pem_slice(tls.key_pem.as_bytes()).expect("PEM");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .expect("TLS 1.3")
        .with_root_certificates(roots)
        .with_client_auth_cert(certs(&tls.cert_pem), key)
        .expect("certificate");
    config.alpn_protocols = vec![b"carobwheel-peer/1".to_vec()];
    let crypto = quinn::crypto::rustls::QuicClientConfig::try_from(config).expect("TLS 1.3");
    let config = quinn::ClientConfig::new(Arc::new(crypto));
    let endpoint = quinn::Endpoint::client(([127, 0, 0, 1], 0).into()).expect("free port");
    let connecting = endpoint.connect_with(config, to.addr(), to.id.as_str());
    let connection = connecting.expect("dialled").await.expect("connected");
    let hello = Hello { instance: id(name) };
    let mut stream = connection.open_uni().await.expect("open");
    let head = encode_head(&hello).expect("small");
    stream.write_all(&head).await.expect("written");
    stream.finish().expect("open");
    let bytes = encode(&Message::opaque(1, Vec::new()), 1).expect("small");
    // Fails if the peer has already closed the connection.
    let _ = connection.send_datagram(bytes.into());
    connection.closed().await;
}

/// Flows of the relay by client, and the clients whose flows are dropped.
#[derive(Default)]
struct RelayFlows {
    flows: BTreeMap<SocketAddr, Arc<UdpSocket>>,
    lost_clients: BTreeSet<SocketAddr>,
}

/// UDP relay in front of one address, like a middlebox with a flow table.
pub(crate) struct Relay {
    pub(crate) addr: SocketAddr,
    state: Arc<Mutex<RelayFlows>>,
}

impl Relay {
    pub(crate) fn start(target: SocketAddr) -> Self {
        let client_socket = Arc::new(UdpSocket::bind("127.0.0.1:0").expect("free port"));
        let addr = client_socket.local_addr().expect("bound");
        let state = Arc::new(Mutex::new(RelayFlows::default()));
        let shared = Arc::clone(&state);
        thread::spawn(move || forward_all(&client_socket, target, &shared));
        Self { addr, state }
    }

    /// Drops all existing flows permanently and returns their number. New flows still work.
    pub(crate) fn lose_flows(&self) -> usize {
        let mut state = self.state.lock().expect("not poisoned");
        let flows: Vec<_> = state.flows.keys().copied().collect();
        state.lost_clients.extend(flows.iter().copied());
        flows.len()
    }

    pub(crate) fn flows(&self) -> usize {
        self.state.lock().expect("not poisoned").flows.len()
    }
}

fn forward_all(
    client_socket: &Arc<UdpSocket>,
    target: SocketAddr,
    shared: &Arc<Mutex<RelayFlows>>,
) {
    let mut buffer = [0; 2_048];
    while let Ok((length, client)) = client_socket.recv_from(&mut buffer) {
        let target_socket = {
            let mut state = shared.lock().expect("not poisoned");
            if state.lost_clients.contains(&client) {
                continue;
            }
            let known = state.flows.get(&client).cloned();
            known.unwrap_or_else(|| {
                let target_socket = open_flow(client_socket, target, client, shared);
                state.flows.insert(client, Arc::clone(&target_socket));
                target_socket
            })
        };
        // A datagram that cannot be relayed is lost, as on a real network.
        let _ = target_socket.send(&buffer[..length]);
    }
}

fn open_flow(
    client_socket: &Arc<UdpSocket>,
    target: SocketAddr,
    client: SocketAddr,
    shared: &Arc<Mutex<RelayFlows>>,
) -> Arc<UdpSocket> {
    let target_socket = Arc::new(UdpSocket::bind("127.0.0.1:0").expect("free port"));
    target_socket.connect(target).expect("connected");
    let (client_socket, shared, reader) = (
        Arc::clone(client_socket),
        Arc::clone(shared),
        Arc::clone(&target_socket),
    );
    thread::spawn(move || {
        let mut buffer = [0; 2_048];
        while let Ok(length) = reader.recv(&mut buffer) {
            let is_lost = shared
                .lock()
                .expect("not poisoned")
                .lost_clients
                .contains(&client);
            if !is_lost {
                let _ = client_socket.send_to(&buffer[..length], client);
            }
        }
    });
    target_socket
}
