//! A TCP proxy on the link from one controller to another, which can close, hold or delay
//! the link.
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
    /// The bytes are forwarded.
    Pass,
    /// Open connections are closed, and new ones as soon as they are accepted.
    Refuse,
    /// Nothing is forwarded in either direction until the mode changes; then what was sent
    /// arrives.
    Hold,
    /// Each chunk that is read is forwarded after this delay.
    Delay(Duration),
}

/// A proxy that forwards connections to one address.
#[derive(Debug)]
pub struct Proxy {
    /// The address that the proxy listens on.
    pub addr: SocketAddr,
    mode: watch::Sender<LinkMode>,
}

impl Proxy {
    /// Starts a proxy that forwards to an address.
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

    /// Changes the mode of the link, including its open connections.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

async fn forward(client: TcpStream, to: SocketAddr, modes: watch::Receiver<LinkMode>) {
    let Ok(server) = TcpStream::connect(to).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let mut refused = modes.clone();
    tokio::select! {
        () = copy(client_read, server_write, modes.clone()) => {}
        () = copy(server_read, client_write, modes) => {}
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
        if let LinkMode::Delay(delay) = mode {
            sleep(delay).await;
        }
        if to.write_all(&buffer[..n]).await.is_err() {
            return;
        }
    }
}
