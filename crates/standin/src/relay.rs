//! A TCP relay that can be cut, to stand for a link that fails.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::platform::ANY_PORT;

/// A running relay; a clone is the same relay.
#[derive(Clone)]
pub struct Relay {
    address: SocketAddr,
    cut: Arc<watch::Sender<bool>>,
}

impl Relay {
    /// Starts a relay to `target` on a free loopback port.
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

    /// Address to connect to instead of the target.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the link, which breaks its connections, or restores it.
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
