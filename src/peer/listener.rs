//! The responding side: links that other controllers open to this one.

use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tracing::info;

use super::codec::{encode, next_for_batch, read_frame_in_time, LinkError};
use super::frame::{Frame, PeerRequest};
use super::handler::PeerRequestHandler;

/// Pause after a link could not be accepted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Accepts the links of other controllers for ever. Dropped, it cuts them.
pub async fn listen(listener: TcpListener, handler: Arc<impl PeerRequestHandler>) {
    let mut links = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                links.spawn(serve_link(stream, handler.clone()));
                // Why a link ended is logged where it was opened.
                while links.try_join_next().is_some() {}
            }
            Err(e) => {
                info!(error = %e, "can't accept a controller's link");
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Serves one link until it ends.
async fn serve_link(stream: TcpStream, handler: Arc<impl PeerRequestHandler>) -> Result<(), LinkError> {
    let (read, write) = stream.into_split();
    let mut read = BufReader::new(read);
    let Frame::Hello { host } = read_frame_in_time(&mut read).await? else {
        return Err(LinkError::NoHello);
    };
    let (responses, queue) = mpsc::channel(handler.max_pending_responses());
    let end = tokio::select! {
        end = read_requests(read, &host, &responses, &handler) => end,
        end = send_responses(write, queue) => end,
    };
    handler.peer_disconnected(&host);
    end
}

async fn read_requests<H: PeerRequestHandler>(
    mut read: impl AsyncRead + Unpin,
    host: &str,
    responses: &mpsc::Sender<Frame>,
    handler: &Arc<H>,
) -> Result<(), LinkError> {
    loop {
        let frame = read_frame_in_time(&mut read).await?;
        handler.peer_alive(host);
        let Frame::Request { id, request } = frame else {
            continue;
        };
        match request {
            PeerRequest::Ping { term } => {
                handler.observe_term(term);
                let (term, leader) = (handler.known_term(), handler.known_leader());
                let _ = responses.try_send(Frame::Pong { term, leader });
            }
            // Responded to in place: most requests are heartbeats, and none waits.
            PeerRequest::Heartbeat(body) => {
                let response = handler.handle_heartbeat(host, &body);
                let term = handler.known_term();
                let _ = responses.try_send(Frame::Response { id, term, response });
            }
            request => {
                // Not owned by the link: a request that has begun is carried out to its
                // end, also when the link breaks before its response can be sent.
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

/// Sends responses as they come, all that are ready in one packet.
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
