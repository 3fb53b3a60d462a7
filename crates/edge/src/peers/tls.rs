//! Self-signed certificates of instances, pinned by their digests.

use super::{
    congestion::WindowFloorConfig,
    verify::{AnyClient, PinnedServer},
    CONNECTION_IDLE_TIMEOUT,
};
use crate::memory::MemoryBudget;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::{
    crypto::CryptoProvider,
    pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer},
};
use sha2::{Digest as _, Sha256};
use std::{fmt, sync::Arc, time::Duration};

/// Subject name of all certificates; instances are told apart by the digests.
const CERTIFICATE_NAME: &str = "carobwheel";
/// Maximum number of open requests per link.
const MAX_REQUESTS_PER_LINK: u32 = 1_024;
/// Maximum number of messages that arrive on a link at the same time.
const MAX_MESSAGES_PER_LINK: u32 = 100;
/// Smallest and largest receive window of a link, in bytes. The smallest one suffices for 200 Mbit/s at a
/// round-trip time of 160 ms.
const RECEIVE_WINDOW_BOUNDS: (usize, usize) = (4 * 1024 * 1024, 16 * 1024 * 1024);
/// Divisor of the memory for callers that gives the window between the bounds. Answers that callers of
/// this instance do not read fill it, and the other exchanges on the link then wait until their
/// connections are closed; a smaller window is filled by fewer of them.
const RECEIVE_WINDOW_DIVISOR: usize = 6;
/// Receive window until the instance that has dialled is known, in bytes. Its certificate arrives with the
/// handshake, and nothing else is read from it.
const UNKNOWN_RECEIVE_WINDOW: u32 = 16 * 1024;
/// Interval of packets on a link that carries nothing else.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Round-trip time that is assumed until one is measured.
const INITIAL_RTT: Duration = Duration::from_millis(170);

/// Error of a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerError(pub String);

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for PeerError {}

fn peer_error(err: impl ToString) -> PeerError {
    PeerError(err.to_string())
}

/// Certificate and private key of this process.
pub struct Identity {
    certificate: CertificateDer<'static>,
    key: PrivatePkcs8KeyDer<'static>,
    provider: Arc<CryptoProvider>,
}

impl Identity {
    /// Generates a key and a self-signed certificate.
    ///
    /// # Errors
    ///
    /// Fails if no key can be generated.
    pub fn generate() -> Result<Self, PeerError> {
        let made = rcgen::generate_simple_self_signed(vec![CERTIFICATE_NAME.to_owned()])
            .map_err(peer_error)?;
        Ok(Self {
            certificate: made.cert.der().clone(),
            key: PrivatePkcs8KeyDer::from(made.signing_key.serialize_der()),
            provider: Arc::new(rustls::crypto::ring::default_provider()),
        })
    }

    /// SHA-256 digest of the certificate.
    pub fn digest(&self) -> [u8; 32] {
        digest(&self.certificate)
    }

    fn key(&self) -> PrivateKeyDer<'static> {
        PrivateKeyDer::Pkcs8(self.key.clone_key())
    }

    /// Configuration of the endpoint that other instances dial.
    pub(super) fn server(&self) -> Result<quinn::ServerConfig, PeerError> {
        let verifier = Arc::new(AnyClient::new(Arc::clone(&self.provider)));
        let mut config = rustls::ServerConfig::builder_with_provider(Arc::clone(&self.provider))
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(peer_error)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(vec![self.certificate.clone()], self.key())
            .map_err(peer_error)?;
        config.session_storage = Arc::new(rustls::server::NoServerSessionStorage {});
        config.send_tls13_tickets = 0;
        let crypto = QuicServerConfig::try_from(config).map_err(peer_error)?;
        let mut server = quinn::ServerConfig::with_crypto(Arc::new(crypto));
        let mut transport = transport();
        transport
            .receive_window(UNKNOWN_RECEIVE_WINDOW.into())
            .max_concurrent_bidi_streams(0u8.into())
            .max_concurrent_uni_streams(0u8.into());
        server.transport_config(Arc::new(transport));
        Ok(server)
    }

    /// Configuration for dialling the instance whose certificate has `digest`.
    pub(super) fn client(&self, digest: [u8; 32]) -> Result<quinn::ClientConfig, PeerError> {
        let verifier = Arc::new(PinnedServer::new(digest, Arc::clone(&self.provider)));
        let mut config = rustls::ClientConfig::builder_with_provider(Arc::clone(&self.provider))
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(peer_error)?
            .dangerous()
            .with_custom_certificate_verifier(verifier)
            .with_client_auth_cert(vec![self.certificate.clone()], self.key())
            .map_err(peer_error)?;
        config.resumption = rustls::client::Resumption::disabled();
        let crypto = QuicClientConfig::try_from(config).map_err(peer_error)?;
        let mut client = quinn::ClientConfig::new(Arc::new(crypto));
        let mut transport = transport();
        transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
        client.transport_config(Arc::new(transport));
        Ok(client)
    }
}

/// SHA-256 digest of a certificate.
pub(super) fn digest(certificate: &CertificateDer<'_>) -> [u8; 32] {
    Sha256::digest(certificate).into()
}

/// Digest of the certificate that the other end of a link has presented.
pub(super) fn peer_digest(connection: &quinn::Connection) -> Option<[u8; 32]> {
    let chain = connection
        .peer_identity()?
        .downcast::<Vec<CertificateDer<'static>>>()
        .ok()?;
    chain.first().map(digest)
}

/// Opens the receive window and the streams of a link whose other end is known to be an instance.
pub(super) fn open_windows(connection: &quinn::Connection, memory: &MemoryBudget) {
    let (least, most) = RECEIVE_WINDOW_BOUNDS;
    let window = (memory.limit_bytes() / RECEIVE_WINDOW_DIVISOR).clamp(least, most);
    connection.set_receive_window(u32::try_from(window).unwrap_or(u32::MAX).into());
    connection.set_max_concurrent_bi_streams(MAX_REQUESTS_PER_LINK.into());
    connection.set_max_concurrent_uni_streams(MAX_MESSAGES_PER_LINK.into());
}

fn transport() -> quinn::TransportConfig {
    let mut transport = quinn::TransportConfig::default();
    transport
        .max_idle_timeout(quinn::IdleTimeout::try_from(CONNECTION_IDLE_TIMEOUT).ok())
        .mtu_discovery_config(None)
        .congestion_controller_factory(Arc::new(WindowFloorConfig::default()))
        .initial_rtt(INITIAL_RTT)
        .max_concurrent_bidi_streams(MAX_REQUESTS_PER_LINK.into())
        .max_concurrent_uni_streams(MAX_MESSAGES_PER_LINK.into())
        .datagram_receive_buffer_size(Some(32 * 1_024))
        .datagram_send_buffer_size(16 * 1_024);
    transport
}
