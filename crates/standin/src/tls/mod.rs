//! Certificate authority for tests and `carobctl demo`.
//!
//! It issues certificates for the links between instances, each with one instance as its only DNS
//! name. Keys are kept in memory only.

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

/// Private certificate authority.
pub struct CertificateAuthority {
    issuer: Issuer<'static, KeyPair>,
    cert_pem: String,
}

/// Certificate and private key of one instance, and the authority's certificate for verifying its
/// peers.
#[derive(Clone, Debug)]
pub struct InstancePem {
    /// Certificate chain of the instance, as PEM text.
    pub cert_pem: String,
    /// Private key of the instance, as PEM text.
    pub key_pem: String,
    /// Certificate of the authority, as PEM text.
    pub ca_pem: String,
}

impl CertificateAuthority {
    /// Creates an authority with a new key.
    ///
    /// # Errors
    ///
    /// Fails when no key or certificate can be generated.
    pub fn new(name: &str) -> Result<Self, rcgen::Error> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(Vec::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.distinguished_name.push(DnType::CommonName, name);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let cert_pem = params.self_signed(&key)?.pem();
        let issuer = Issuer::new(params, key);
        Ok(Self { issuer, cert_pem })
    }

    /// Returns the certificate of the authority, as PEM text.
    pub fn cert_pem(&self) -> &str {
        &self.cert_pem
    }

    /// Issues a certificate for the instance named `instance`.
    ///
    /// # Errors
    ///
    /// Fails when the name is not a DNS name or no key can be generated.
    pub fn issue(&self, instance: &str) -> Result<InstancePem, rcgen::Error> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![instance.to_owned()])?;
        params.distinguished_name.push(DnType::CommonName, instance);
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let cert = params.signed_by(&key, &self.issuer)?;
        Ok(InstancePem {
            cert_pem: cert.pem(),
            key_pem: key.serialize_pem(),
            ca_pem: self.cert_pem.clone(),
        })
    }
}
