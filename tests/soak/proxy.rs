//! A TCP proxy on the link between two controllers, which can close, hold or delay it.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// What the proxy does with the bytes of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkMode {
    /// They are forwarded.
    Pass,
    /// Connections are closed, new ones at once.
    Refuse,
    /// Nothing arrives in either direction; what was sent arrives once the mode changes.
    Hold,
    /// Each chunk is forwarded after this delay.
    Delay(Duration),
}

/// A link to one address.
#[derive(Debug)]
pub struct Proxy {
    /// Where the link is entered.
    pub addr: SocketAddr,
    mode: watch::Sender<LinkMode>,
}

impl Proxy {
    /// Opens a link to an address.
    pub async fn start(to: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let (mode, modes) = watch::channel(LinkMode::Pass);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if *modes.borrow() != LinkMode::Refuse {
                    tokio::spawn(forward(stream, to, modes.clone()));
                }
            }
        });
        Arc::new(Self { addr, mode })
    }

    /// Changes the mode of the link, that of open connections as well.
    pub fn set(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn forward(near: TcpStream, to: SocketAddr, modes: watch::Receiver<LinkMode>) {
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut refused = modes.clone();
    tokio::select! {
        () = copy(near_read, far_write, modes.clone()) => {}
        () = copy(far_read, near_write, modes) => {}
        _ = refused.wait_for(|mode| *mode == LinkMode::Refuse) => {}
    }
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    mut modes: watch::Receiver<LinkMode>,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(n) = from.read(&mut buffer).await else {
            return;
        };
        if n == 0 || modes.wait_for(|mode| *mode != LinkMode::Hold).await.is_err() {
            return;
        }
        let mode = *modes.borrow();
        if let LinkMode::Delay(by) = mode {
            sleep(by).await;
        }
        if to.write_all(&buffer[..n]).await.is_err() {
            return;
        }
    }
}
