//! Mutual TLS for links: both sides present a certificate signed by the private authority.

use super::{PeerError, TlsMaterial};
use carobwheel_core::id::InstanceId;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::pki_types::{pem::PemObject, CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::{NoServerSessionStorage, ParsedCertificate, WebPkiClientVerifier};
use rustls::{client::Resumption, crypto::CryptoProvider, RootCertStore};
use std::{ops::RangeInclusive, sync::Arc, time::Duration};

/// ALPN protocol name, followed by the protocol version.
const ALPN_PREFIX: &str = "carobwheel-peer/";
/// Flow-control window of one stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 512 * 1_024;
/// Flow-control window of one connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 4 * 1_024 * 1_024;
/// Size of the datagram buffer per direction, in bytes.
const DATAGRAM_BUFFER_BYTES: usize = 64 * 1_024;
/// Maximum number of requests that a peer may have open on one link.
const MAX_CONCURRENT_REQUESTS: u32 = 256;
/// Maximum number of large messages that a peer may be sending on one link.
const MAX_CONCURRENT_LARGE_MESSAGES: u32 = 32;
/// Idle timeout of the QUIC library, in milliseconds. The link thread closes idle links earlier.
const QUIC_IDLE_TIMEOUT_MS: u32 = 300_000;

/// QUIC configurations for accepting and dialling.
#[derive(Clone)]
pub(super) struct TlsConfigs {
    pub(super) server: quinn::ServerConfig,
    pub(super) client: quinn::ClientConfig,
}

impl TlsConfigs {
    pub(super) fn new(
        material: &TlsMaterial,
        instance: &InstanceId,
        versions: &RangeInclusive<u8>,
    ) -> Result<Self, PeerError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let chain = certificates(&material.cert_pem)?;
        let leaf = chain
            .first()
            .ok_or_else(|| tls_error("no instance certificate"))?;
        if !is_certificate_of(leaf, instance) {
            return Err(tls_error(format!("certificate does not name `{instance}`")));
        }
        let roots = roots(&material.ca_pem)?;
        let transport = Arc::new(transport());
        let mut server = server(&provider, &roots, &chain, private_key(material)?, versions)?;
        server.transport_config(Arc::clone(&transport));
        server.migration(false);
        let mut client = client(&provider, &roots, &chain, private_key(material)?, versions)?;
        client.transport_config(transport);
        Ok(Self { server, client })
    }
}

/// Whether a verified certificate names `instance`. Names with upper-case letters are refused,
/// since names in certificates are compared without regard to case.
pub(super) fn is_certificate_of(cert: &CertificateDer<'_>, instance: &InstanceId) -> bool {
    let name = instance.as_str();
    if name.bytes().any(|b| b.is_ascii_uppercase()) {
        return false;
    }
    let (Ok(parsed), Ok(name)) = (
        ParsedCertificate::try_from(cert),
        ServerName::try_from(name),
    ) else {
        return false;
    };
    rustls::client::verify_server_name(&parsed, &name).is_ok()
}

/// Returns the protocol version negotiated by the handshake.
pub(super) fn agreed_version(connection: &quinn::Connection) -> Option<u8> {
    let data = connection
        .handshake_data()?
        .downcast::<quinn::crypto::rustls::HandshakeData>()
        .ok()?;
    let name = String::from_utf8(data.protocol?).ok()?;
    name.strip_prefix(ALPN_PREFIX)?.parse().ok()
}

/// Returns the peer's leaf certificate, as verified by the handshake.
pub(super) fn peer_certificate(connection: &quinn::Connection) -> Option<CertificateDer<'static>> {
    let chain = connection
        .peer_identity()?
        .downcast::<Vec<CertificateDer<'static>>>()
        .ok()?;
    chain.first().cloned()
}

fn tls_error(reason: impl ToString) -> PeerError {
    PeerError::Tls(reason.to_string())
}

fn certificates(pem: &str) -> Result<Vec<CertificateDer<'static>>, PeerError> {
    CertificateDer::pem_slice_iter(pem.as_bytes())
        .collect::<Result<_, _>>()
        .map_err(|err| tls_error(format!("invalid PEM: {err}")))
}

fn private_key(material: &TlsMaterial) -> Result<PrivateKeyDer<'static>, PeerError> {
    PrivateKeyDer::from_pem_slice(material.key_pem.as_bytes())
        .map_err(|err| tls_error(format!("invalid private key: {err}")))
}

fn roots(pem: &str) -> Result<Arc<RootCertStore>, PeerError> {
    let mut roots = RootCertStore::empty();
    for cert in certificates(pem)? {
        roots.add(cert).map_err(tls_error)?;
    }
    if roots.is_empty() {
        return Err(tls_error("no certificate authority"));
    }
    Ok(Arc::new(roots))
}

/// Returns the ALPN protocol names, highest version first.
fn alpn(versions: &RangeInclusive<u8>) -> Vec<Vec<u8>> {
    let name = |version| format!("{ALPN_PREFIX}{version}").into_bytes();
    versions.clone().rev().map(name).collect()
}

fn server(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: &[CertificateDer<'static>],
    key: PrivateKeyDer<'static>,
    versions: &RangeInclusive<u8>,
) -> Result<quinn::ServerConfig, PeerError> {
    let verifier =
        WebPkiClientVerifier::builder_with_provider(Arc::clone(roots), Arc::clone(provider))
            .build()
            .map_err(tls_error)?;
    let mut config = rustls::ServerConfig::builder_with_provider(Arc::clone(provider))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls_error)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.to_vec(), key)
        .map_err(tls_error)?;
    config.alpn_protocols = alpn(versions);
    // A resumed session would skip verification of the peer's certificate.
    config.session_storage = Arc::new(NoServerSessionStorage {});
    config.send_tls13_tickets = 0;
    let crypto = QuicServerConfig::try_from(config).map_err(tls_error)?;
    Ok(quinn::ServerConfig::with_crypto(Arc::new(crypto)))
}

fn client(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: &[CertificateDer<'static>],
    key: PrivateKeyDer<'static>,
    versions: &RangeInclusive<u8>,
) -> Result<quinn::ClientConfig, PeerError> {
    let mut config = rustls::ClientConfig::builder_with_provider(Arc::clone(provider))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(tls_error)?
        .with_root_certificates(Arc::clone(roots))
        .with_client_auth_cert(chain.to_vec(), key)
        .map_err(tls_error)?;
    config.alpn_protocols = alpn(versions);
    config.resumption = Resumption::disabled();
    let crypto = QuicClientConfig::try_from(config).map_err(tls_error)?;
    Ok(quinn::ClientConfig::new(Arc::new(crypto)))
}

fn transport() -> quinn::TransportConfig {
    let mut transport = quinn::TransportConfig::default();
    let idle = quinn::VarInt::from_u32(QUIC_IDLE_TIMEOUT_MS);
    transport
        .max_idle_timeout(Some(idle.into()))
        .mtu_discovery_config(None)
        .initial_rtt(Duration::from_millis(200))
        .max_concurrent_bidi_streams(MAX_CONCURRENT_REQUESTS.into())
        .max_concurrent_uni_streams(MAX_CONCURRENT_LARGE_MESSAGES.into())
        .stream_receive_window(STREAM_WINDOW_BYTES.into())
        .receive_window(CONNECTION_WINDOW_BYTES.into())
        .send_window(CONNECTION_WINDOW_BYTES.into())
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES))
        .datagram_send_buffer_size(DATAGRAM_BUFFER_BYTES);
    transport
}
