//! Self-signed certificates of instances, pinned by their digests.

use super::{congestion::WindowFloorConfig, LINK_IDLE_TIMEOUT};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::{
    client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier},
    crypto::{verify_tls12_signature, verify_tls13_signature, CryptoProvider},
    pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer, ServerName, UnixTime},
    server::danger::{ClientCertVerified, ClientCertVerifier},
    DigitallySignedStruct, DistinguishedName, SignatureScheme,
};
use sha2::{Digest as _, Sha256};
use std::{fmt, sync::Arc, time::Duration};

/// Subject name of all certificates; instances are told apart by the digests.
const CERTIFICATE_NAME: &str = "carobwheel";
/// Maximum number of open requests per link.
const MAX_REQUESTS_PER_LINK: u32 = 1_024;
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
        let verifier = Arc::new(AnyClient(Arc::clone(&self.provider)));
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
        server.transport_config(Arc::new(transport()));
        Ok(server)
    }

    /// Configuration for dialling the instance whose certificate has `digest`.
    pub(super) fn client(&self, digest: [u8; 32]) -> Result<quinn::ClientConfig, PeerError> {
        let verifier = Arc::new(PinnedServer {
            digest,
            provider: Arc::clone(&self.provider),
        });
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
        client.transport_config(Arc::new(transport()));
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

fn transport() -> quinn::TransportConfig {
    let mut transport = quinn::TransportConfig::default();
    transport
        .max_idle_timeout(quinn::IdleTimeout::try_from(LINK_IDLE_TIMEOUT).ok())
        .mtu_discovery_config(None)
        .congestion_controller_factory(Arc::new(WindowFloorConfig::default()))
        .initial_rtt(INITIAL_RTT)
        .max_concurrent_bidi_streams(MAX_REQUESTS_PER_LINK.into())
        .datagram_receive_buffer_size(Some(32 * 1_024))
        .datagram_send_buffer_size(16 * 1_024);
    transport
}

/// Verifier that accepts any client certificate. The instance is looked up by its digest after the
/// handshake.
#[derive(Debug)]
struct AnyClient(Arc<CryptoProvider>);

/// Verifier that accepts a single server certificate.
#[derive(Debug)]
struct PinnedServer {
    digest: [u8; 32],
    provider: Arc<CryptoProvider>,
}

type Signed<'a> = (&'a [u8], &'a CertificateDer<'a>, &'a DigitallySignedStruct);

fn verify12(
    provider: &CryptoProvider,
    signed: Signed<'_>,
) -> Result<HandshakeSignatureValid, rustls::Error> {
    let (message, cert, dss) = signed;
    verify_tls12_signature(
        message,
        cert,
        dss,
        &provider.signature_verification_algorithms,
    )
}

fn verify13(
    provider: &CryptoProvider,
    signed: Signed<'_>,
) -> Result<HandshakeSignatureValid, rustls::Error> {
    let (message, cert, dss) = signed;
    verify_tls13_signature(
        message,
        cert,
        dss,
        &provider.signature_verification_algorithms,
    )
}

impl ClientCertVerifier for AnyClient {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        _: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: UnixTime,
    ) -> Result<ClientCertVerified, rustls::Error> {
        Ok(ClientCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        verify12(&self.0, (message, cert, dss))
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        verify13(&self.0, (message, cert, dss))
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
    }
}

impl ServerCertVerifier for PinnedServer {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: &ServerName<'_>,
        _: &[u8],
        _: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        if digest(end_entity) == self.digest {
            Ok(ServerCertVerified::assertion())
        } else {
            Err(rustls::Error::General(
                "another instance has this address".to_owned(),
            ))
        }
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        verify12(&self.provider, (message, cert, dss))
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        verify13(&self.provider, (message, cert, dss))
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.provider
            .signature_verification_algorithms
            .supported_schemes()
    }
}
