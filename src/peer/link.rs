//! The link to another controller, for this one's requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};
use tracing::debug;

use crate::response::ApiResponse;

use super::codec::{encode, next_for_batch, read_frame_in_time, LinkError};
use super::frame::{Frame, PeerRequest};
use super::handler::PeerRequestHandler;
use super::MAX_SILENCE;

/// A ping is sent when no request was for so long.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before a link that ended is connected again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(300);

/// A request that waits to be sent, and where its response goes.
#[derive(Debug)]
struct QueuedRequest {
    request: PeerRequest,
    response: oneshot::Sender<ApiResponse>,
}

/// Requests that were sent on the current connection, by their numbers.
type PendingResponses = Mutex<HashMap<u64, oneshot::Sender<ApiResponse>>>;

/// The link to another controller, for requests of this one.
#[derive(Debug)]
pub struct PeerLink {
    host: String,
    addr: SocketAddr,
    requests: mpsc::Sender<QueuedRequest>,
    /// The receiving end of `requests`, until [`run`](Self::run) takes it.
    inbox: Mutex<Option<mpsc::Receiver<QueuedRequest>>>,
    /// When the last frame was received; `None` while the link is not connected.
    last_frame_at: Mutex<Option<Instant>>,
}

impl PeerLink {
    /// A link that is not connected yet, with room for `max_waiting` requests that wait
    /// to be sent: as many as there are users and workers that may cause one.
    pub fn new(host: String, addr: SocketAddr, max_waiting: usize) -> Arc<Self> {
        let (requests, inbox) = mpsc::channel(max_waiting);
        Arc::new(Self {
            host,
            addr,
            requests,
            inbox: Mutex::new(Some(inbox)),
            last_frame_at: Mutex::new(None),
        })
    }

    /// The other controller's name.
    pub fn host(&self) -> &str {
        &self.host
    }

    /// Whether the link is connected and a frame was received on it lately.
    pub fn is_alive(&self) -> bool {
        self.last_frame_at
            .lock()
            .is_some_and(|at| at.elapsed() < MAX_SILENCE)
    }

    /// Sends a request and waits for its response. `None`: the link is not alive, too
    /// many requests wait, or no response came within `patience`. The request may have
    /// been carried out nevertheless.
    pub async fn request(&self, request: PeerRequest, patience: Duration) -> Option<ApiResponse> {
        if !self.is_alive() {
            return None;
        }
        let (response, received) = oneshot::channel();
        let queued = QueuedRequest { request, response };
        self.requests.try_send(queued).ok()?;
        timeout(patience, received).await.ok()?.ok()
    }

    /// Keeps the link connected for ever. Of several calls only the first does anything.
    pub async fn run(self: Arc<Self>, handler: Arc<impl PeerRequestHandler>) {
        let Some(mut inbox) = self.inbox.lock().take() else {
            return;
        };
        loop {
            if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await {
                let _ = stream.set_nodelay(true);
                let end = self.serve(stream, &mut inbox, &*handler).await;
                debug!(peer = %self.host, ?end, "link ended");
            }
            *self.last_frame_at.lock() = None;
            sleep(RECONNECT_PAUSE).await;
        }
    }

    /// Serves one connection until it ends.
    async fn serve(
        &self,
        stream: TcpStream,
        inbox: &mut mpsc::Receiver<QueuedRequest>,
        handler: &impl PeerRequestHandler,
    ) -> Result<(), LinkError> {
        let (read, write) = stream.into_split();
        let pending = PendingResponses::default();
        tokio::select! {
            end = self.read_responses(BufReader::new(read), &pending, handler) => end,
            end = send_requests(write, inbox, &pending, handler) => end,
        }
    }

    async fn read_responses(
        &self,
        mut read: impl AsyncRead + Unpin,
        pending: &PendingResponses,
        handler: &impl PeerRequestHandler,
    ) -> Result<(), LinkError> {
        loop {
            let frame = read_frame_in_time(&mut read).await?;
            *self.last_frame_at.lock() = Some(Instant::now());
            match frame {
                Frame::Response { id, term, response } => {
                    handler.observe_term(term);
                    if let Some(waiting) = pending.lock().remove(&id) {
                        let _ = waiting.send(response);
                    }
                }
                Frame::Pong { term, leader } => {
                    handler.observe_term(term);
                    handler.observe_leader(leader);
                }
                Frame::Hello { .. } | Frame::Request { .. } => {}
            }
        }
    }
}

/// Sends a hello, then requests as they come and pings while there are none. Returns
/// `Ok` if no more requests can come.
async fn send_requests(
    mut write: OwnedWriteHalf,
    inbox: &mut mpsc::Receiver<QueuedRequest>,
    pending: &PendingResponses,
    handler: &impl PeerRequestHandler,
) -> Result<(), LinkError> {
    let mut out = Vec::new();
    let host = handler.host().to_owned();
    // Sent together with the first request or ping.
    encode(&Frame::Hello { host }, &mut out)?;
    let mut next_id = 0;
    loop {
        let first = tokio::select! {
            queued = inbox.recv() => match queued {
                Some(queued) => Some(queued),
                None => return Ok(()),
            },
            () = sleep(PING_INTERVAL) => None,
        };
        if first.is_none() {
            // Nobody waits for these responses any more.
            pending.lock().retain(|_, waiting| !waiting.is_closed());
            let request = PeerRequest::Ping {
                term: handler.known_term(),
            };
            encode(&Frame::Request { id: next_id, request }, &mut out)?;
            next_id += 1;
        }
        // All that is ready goes in one packet.
        let mut next = first;
        while let Some(QueuedRequest { request, response }) = next {
            pending.lock().insert(next_id, response);
            encode(&Frame::Request { id: next_id, request }, &mut out)?;
            next_id += 1;
            next = next_for_batch(inbox, out.len());
        }
        write.write_all(&out).await?;
        out.clear();
    }
}
