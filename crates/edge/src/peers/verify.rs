//! Certificate verifiers of the links: certificates are compared by digest, not by issuer.

use super::tls::digest;
use rustls::{
    client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier},
    crypto::{verify_tls12_signature, verify_tls13_signature, CryptoProvider},
    pki_types::{CertificateDer, ServerName, UnixTime},
    server::danger::{ClientCertVerified, ClientCertVerifier},
    DigitallySignedStruct, DistinguishedName, SignatureScheme,
};
use std::sync::Arc;

/// Verifier that accepts any client certificate. The instance is looked up by its digest after the
/// handshake.
#[derive(Debug)]
pub(super) struct AnyClient {
    provider: Arc<CryptoProvider>,
}

impl AnyClient {
    pub(super) fn new(provider: Arc<CryptoProvider>) -> Self {
        Self { provider }
    }
}

/// Verifier that accepts a single server certificate.
#[derive(Debug)]
pub(super) struct PinnedServer {
    digest: [u8; 32],
    provider: Arc<CryptoProvider>,
}

impl PinnedServer {
    pub(super) fn new(digest: [u8; 32], provider: Arc<CryptoProvider>) -> Self {
        Self { digest, provider }
    }
}

/// Methods that both verifier traits share: the peer has to prove that it holds the key of its
/// certificate, with the algorithms of `self.provider`.
macro_rules! verify_signatures {
    () => {
        fn verify_tls12_signature(
            &self,
            message: &[u8],
            cert: &CertificateDer<'_>,
            dss: &DigitallySignedStruct,
        ) -> Result<HandshakeSignatureValid, rustls::Error> {
            let algorithms = &self.provider.signature_verification_algorithms;
            verify_tls12_signature(message, cert, dss, algorithms)
        }

        fn verify_tls13_signature(
            &self,
            message: &[u8],
            cert: &CertificateDer<'_>,
            dss: &DigitallySignedStruct,
        ) -> Result<HandshakeSignatureValid, rustls::Error> {
            let algorithms = &self.provider.signature_verification_algorithms;
            verify_tls13_signature(message, cert, dss, algorithms)
        }

        fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
            self.provider
                .signature_verification_algorithms
                .supported_schemes()
        }
    };
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

    verify_signatures!();
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

    verify_signatures!();
}
