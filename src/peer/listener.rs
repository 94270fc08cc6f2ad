//! The responding side: connections that other controllers open to this one.

use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tracing::info;

use super::codec::{encode, next_for_batch, read_frame_with_timeout, LinkError};
use super::frame::{Frame, PeerRequest};
use super::handler::PeerRequestHandler;

/// Pause after a failed accept, so that the loop doesn't spin.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Accepts and serves connections from other controllers forever. Dropping the future
/// closes them.
pub async fn listen(listener: TcpListener, handler: Arc<impl PeerRequestHandler>) {
    let mut connections = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                connections.spawn(serve_connection(stream, handler.clone()));
                // Results are dropped: the controller that opened a connection logs why it
                // ended.
                while connections.try_join_next().is_some() {}
            }
            Err(e) => {
                info!(error = %e, "failed to accept a connection from another controller");
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Reads requests and sends responses on one connection until it ends.
async fn serve_connection(stream: TcpStream, handler: Arc<impl PeerRequestHandler>) -> Result<(), LinkError> {
    let (read, write) = stream.into_split();
    let mut read = BufReader::new(read);
    let Frame::Hello { host } = read_frame_with_timeout(&mut read).await? else {
        return Err(LinkError::NoHello);
    };
    let (responses, queue) = mpsc::channel(handler.max_queued_responses());
    let result = tokio::select! {
        result = read_requests(read, &host, &responses, &handler) => result,
        result = send_responses(write, queue) => result,
    };
    handler.peer_disconnected(&host);
    result
}

async fn read_requests<H: PeerRequestHandler>(
    mut read: impl AsyncRead + Unpin,
    host: &str,
    responses: &mpsc::Sender<Frame>,
    handler: &Arc<H>,
) -> Result<(), LinkError> {
    loop {
        let frame = read_frame_with_timeout(&mut read).await?;
        handler.frame_received(host);
        let Frame::Request { id, request } = frame else {
            continue;
        };
        match request {
            PeerRequest::Ping { term } => {
                handler.observe_term(term);
                let (term, leader) = (handler.known_term(), handler.known_leader());
                let _ = responses.try_send(Frame::Pong { term, leader });
            }
            // Handled without a task of its own: most requests are heartbeats, and handling
            // one never waits.
            PeerRequest::Heartbeat(body) => {
                let response = handler.handle_heartbeat(host, &body);
                let term = handler.known_term();
                let _ = responses.try_send(Frame::Response { id, term, response });
            }
            request => {
                // A detached task: a request that has begun is carried out to its end, even
                // if the connection ends before the response can be sent.
                let (handler, responses, host) = (handler.clone(), responses.clone(), host.to_owned());
                tokio::spawn(async move {
                    let response = handler.handle_request(&host, request).await;
                    let term = handler.known_term();
                    let _ = responses.try_send(Frame::Response { id, term, response });
                });
            }
        }
    }
}

/// Sends responses as they are queued, those that are ready together in one write.
async fn send_responses(
    mut write: OwnedWriteHalf,
    mut queue: mpsc::Receiver<Frame>,
) -> Result<(), LinkError> {
    let mut out = Vec::new();
    while let Some(frame) = queue.recv().await {
        encode(&frame, &mut out)?;
        while let Some(more) = next_for_batch(&mut queue, out.len()) {
            encode(&more, &mut out)?;
        }
        write.write_all(&out).await?;
        out.clear();
    }
    Ok(())
}
