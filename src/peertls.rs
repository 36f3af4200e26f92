//! Mutual TLS for links between entry hosts.

use std::io;

use tokio::net::TcpStream;
use tokio_rustls::{TlsAcceptor, TlsConnector};

use crate::peer::{HandshakeFuture, PeerSecurity, PeerStream};
use crate::settings::TlsSettings;
use crate::tls::{ClientCertificates, ClientTls, ServerTls, TlsError, server_name};

/// Key material for links.
pub struct PeerTls {
    server: ServerTls,
    client: ClientTls,
}

impl PeerTls {
    /// Reads the key material.
    ///
    /// # Errors
    ///
    /// Returns [`TlsError`] if a file cannot be read.
    pub fn open(files: &TlsSettings) -> Result<Self, TlsError> {
        Ok(Self {
            server: ServerTls::open(files, ClientCertificates::Required)?,
            client: ClientTls::open(files)?,
        })
    }
}

impl PeerSecurity for PeerTls {
    fn accept(&self, stream: TcpStream) -> HandshakeFuture<'_> {
        let acceptor = TlsAcceptor::from(self.server.config());
        Box::pin(async move {
            let secured = acceptor.accept(stream).await?;
            Ok(Box::new(secured) as Box<dyn PeerStream>)
        })
    }

    fn connect<'a>(&'a self, stream: TcpStream, name: &'a str) -> HandshakeFuture<'a> {
        let connector = TlsConnector::from(self.client.config());
        Box::pin(async move {
            let name = server_name(name).ok_or(io::ErrorKind::InvalidInput)?;
            let secured = connector.connect(name, stream).await?;
            Ok(Box::new(secured) as Box<dyn PeerStream>)
        })
    }
}
