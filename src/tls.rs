//! TLS configuration of listeners and clients, reloaded when the key material changes.

use std::path::PathBuf;
use std::sync::Arc;

use rustls::crypto::ring;
use rustls::pki_types::pem::{self, PemObject};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use snafu::{ResultExt, Snafu};

use crate::reload::{ReadError, RefreshTask, Reloaded};
use crate::settings::TlsSettings;

/// Why key material cannot be used.
#[derive(Debug, Snafu)]
pub enum TlsError {
    /// A file could not be read.
    #[snafu(context(false), display("{source}"))]
    File { source: ReadError },
    /// A file holds no certificates or no key in PEM.
    #[snafu(display("expected {expected} in PEM"))]
    Pem {
        expected: &'static str,
        source: pem::Error,
    },
    /// A file holds no certificate.
    #[snafu(display("expected at least one certificate in PEM"))]
    NoCertificate,
    /// Certificate and key do not match, or are not supported.
    #[snafu(display("certificate and key cannot be used"))]
    Unusable { source: rustls::Error },
    /// The authorities cannot be used to verify client certificates.
    #[snafu(display("authorities cannot be used"))]
    Authorities {
        source: rustls::server::VerifierBuilderError,
    },
}

/// Whether a listener requests client certificates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientCertificates {
    /// Callers and operators authenticate with tokens instead.
    NotRequested,
    /// Entry hosts must present a certificate signed by the authority.
    Required,
}

/// TLS of a listener.
pub struct ServerTls {
    config: Arc<Reloaded<ServerConfig, TlsError>>,
    _refresh_task: Option<RefreshTask>,
}

impl ServerTls {
    /// Reads the key material; inside a tokio runtime, it is reloaded when the files change.
    ///
    /// # Errors
    ///
    /// Returns [`TlsError`] if a file cannot be read or its content cannot be used.
    pub fn open(files: &TlsSettings, clients: ClientCertificates) -> Result<Self, TlsError> {
        let build = move |contents: &[Vec<u8>]| server_config(contents, clients);
        let config = Arc::new(Reloaded::open(file_paths(files), build)?);
        Ok(Self {
            _refresh_task: spawn_refresh(&config),
            config,
        })
    }

    /// Returns the current configuration.
    #[must_use]
    pub fn config(&self) -> Arc<ServerConfig> {
        self.config.get()
    }

    /// Reloads the files now; returns whether they changed.
    ///
    /// # Errors
    ///
    /// Returns [`TlsError`] as [`ServerTls::open`] does; the last valid key material stays in use.
    pub fn refresh(&self) -> Result<bool, TlsError> {
        self.config.refresh()
    }
}

/// TLS of outgoing connections.
pub struct ClientTls {
    config: Arc<Reloaded<ClientConfig, TlsError>>,
    _refresh_task: Option<RefreshTask>,
}

impl ClientTls {
    /// Reads the key material of an entry host, which presents its certificate to the peer.
    ///
    /// # Errors
    ///
    /// Returns [`TlsError`] if a file cannot be read or its content cannot be used.
    pub fn open(files: &TlsSettings) -> Result<Self, TlsError> {
        Self::from_files(file_paths(files), peer_client_config)
    }

    /// Reads the authorities that sign the certificates of entry hosts, for a client that authenticates with a token.
    ///
    /// # Errors
    ///
    /// Returns [`TlsError`] if the file cannot be read or its content cannot be used.
    pub fn open_authority(file: impl Into<PathBuf>) -> Result<Self, TlsError> {
        Self::from_files(vec![file.into()], token_client_config)
    }

    fn from_files(
        files: Vec<PathBuf>,
        build: fn(&[Vec<u8>]) -> Result<ClientConfig, TlsError>,
    ) -> Result<Self, TlsError> {
        let config = Arc::new(Reloaded::open(files, build)?);
        Ok(Self {
            _refresh_task: spawn_refresh(&config),
            config,
        })
    }

    /// Returns the current configuration.
    #[must_use]
    pub fn config(&self) -> Arc<ClientConfig> {
        self.config.get()
    }

    /// Reloads the files now; returns whether they changed.
    ///
    /// # Errors
    ///
    /// Returns [`TlsError`] as [`ClientTls::open`] does; the last valid key material stays in use.
    pub fn refresh(&self) -> Result<bool, TlsError> {
        self.config.refresh()
    }
}

/// Returns the name that the server's certificate is verified against, from a DNS name or an IP address.
#[must_use]
pub fn server_name(host: &str) -> Option<ServerName<'static>> {
    ServerName::try_from(host.to_owned()).ok()
}

fn spawn_refresh<T>(config: &Arc<Reloaded<T, TlsError>>) -> Option<RefreshTask>
where
    T: Send + Sync + 'static,
{
    tokio::runtime::Handle::try_current().ok()?;
    Some(config.spawn_refresh())
}

fn file_paths(files: &TlsSettings) -> Vec<PathBuf> {
    vec![
        files.certificate_file.clone(),
        files.key_file.clone(),
        files.authority_file.clone(),
    ]
}

fn parse_certificates(content: &[u8]) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let parsed: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(content).collect();
    let expected = "certificates";
    let certificates = parsed.context(PemSnafu { expected })?;
    if certificates.is_empty() {
        return NoCertificateSnafu.fail();
    }
    Ok(certificates)
}

fn parse_key(content: &[u8]) -> Result<PrivateKeyDer<'static>, TlsError> {
    let expected = "a private key";
    PrivateKeyDer::from_pem_slice(content).context(PemSnafu { expected })
}

fn parse_authorities(content: &[u8]) -> Result<Arc<RootCertStore>, TlsError> {
    let mut roots = RootCertStore::empty();
    for certificate in parse_certificates(content)? {
        roots.add(certificate).context(UnusableSnafu)?;
    }
    Ok(Arc::new(roots))
}

fn server_config(
    contents: &[Vec<u8>],
    clients: ClientCertificates,
) -> Result<ServerConfig, TlsError> {
    let provider = Arc::new(ring::default_provider());
    let builder = ServerConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .context(UnusableSnafu)?;
    let builder = match clients {
        ClientCertificates::NotRequested => builder.with_no_client_auth(),
        ClientCertificates::Required => {
            let roots = parse_authorities(&contents[2])?;
            let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider)
                .build()
                .context(AuthoritiesSnafu)?;
            builder.with_client_cert_verifier(verifier)
        }
    };
    let mut config = builder
        .with_single_cert(parse_certificates(&contents[0])?, parse_key(&contents[1])?)
        .context(UnusableSnafu)?;
    // Peers use their own framing; HTTP is negotiated only on listeners for callers and operators.
    if clients == ClientCertificates::NotRequested {
        config.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
    }
    Ok(config)
}

fn peer_client_config(contents: &[Vec<u8>]) -> Result<ClientConfig, TlsError> {
    ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .context(UnusableSnafu)?
        .with_root_certificates(parse_authorities(&contents[2])?)
        .with_client_auth_cert(parse_certificates(&contents[0])?, parse_key(&contents[1])?)
        .context(UnusableSnafu)
}

fn token_client_config(contents: &[Vec<u8>]) -> Result<ClientConfig, TlsError> {
    let builder = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .context(UnusableSnafu)?;
    let roots = parse_authorities(&contents[0])?;
    Ok(builder.with_root_certificates(roots).with_no_client_auth())
}
