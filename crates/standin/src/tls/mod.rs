//! A certificate authority for tests and `carobctl demo`.
//!
//! Its certificates are valid for the links between instances: each names one instance as its only
//! DNS name. Keys live in memory only.

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

/// A private certificate authority.
pub struct CertificateAuthority {
    issuer: Issuer<'static, KeyPair>,
    cert_pem: String,
}

/// Certificate and key of one instance, with the authority that its peers are verified against.
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
    /// Makes an authority with a fresh key.
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

    /// Certificate of the authority, as PEM text.
    pub fn cert_pem(&self) -> &str {
        &self.cert_pem
    }

    /// Issues a certificate for the instance with the name `instance`.
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
