//! A TCP relay that can be cut to simulate a network partition.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::platform::ANY_PORT;

/// A running relay; a clone is a handle to the same relay.
#[derive(Clone)]
pub struct Relay {
    address: SocketAddr,
    cut: Arc<watch::Sender<bool>>,
}

impl Relay {
    /// Listens on a free loopback port and relays connections to `target`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if no port can be bound.
    pub async fn bind(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(ANY_PORT).await?;
        let address = listener.local_addr()?;
        let (cut, _) = watch::channel(false);
        let cut = Arc::new(cut);
        let relay = Self {
            address,
            cut: cut.clone(),
        };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay_connection(stream, target, cut.subscribe()));
            }
        });
        Ok(relay)
    }

    /// Address on which the relay listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the link or restores it. A cut closes all open connections and every new one.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

async fn relay_connection(
    mut stream: TcpStream,
    target: SocketAddr,
    mut cut: watch::Receiver<bool>,
) {
    if *cut.borrow() {
        return;
    }
    let Ok(mut upstream) = TcpStream::connect(target).await else {
        return;
    };
    tokio::select! {
        _ = copy_bidirectional(&mut stream, &mut upstream) => {}
        _ = cut.wait_for(|cut| *cut) => {}
    }
}
