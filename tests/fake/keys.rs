//! A certificate authority and certificates for tests.

use std::path::PathBuf;

use primrosestack::settings::TlsSettings;
use rcgen::{
    BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    date_time_ymd,
};

use super::Directory;

/// A certificate authority whose certificate is in `file`.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    pub file: PathBuf,
}

impl Authority {
    /// Creates an authority and writes its certificate to the directory.
    pub fn open(directory: &Directory, name: &str) -> Self {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        let certificate = params.self_signed(&key).unwrap();
        let file = directory.write(&format!("{name}-authority.pem"), certificate.pem());
        Self {
            issuer: Issuer::new(params, key),
            file,
        }
    }

    /// Writes a key and a certificate for 127.0.0.1, which is valid or expired in 2001.
    pub fn sign(&self, directory: &Directory, name: &str, is_expired: bool) -> TlsSettings {
        let mut params = CertificateParams::new(vec!["127.0.0.1".to_owned()]).unwrap();
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        if is_expired {
            params.not_before = date_time_ymd(2000, 1, 1);
            params.not_after = date_time_ymd(2001, 1, 1);
        }
        let key = KeyPair::generate().unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        TlsSettings {
            certificate_file: directory.write(&format!("{name}.pem"), certificate.pem()),
            key_file: directory.write(&format!("{name}.key"), key.serialize_pem()),
            authority_file: self.file.clone(),
        }
    }
}
