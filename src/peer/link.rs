//! The requesting side: the link that this controller keeps to another one.

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

use super::codec::{encode, next_for_batch, read_frame_with_timeout, LinkError};
use super::frame::{Frame, PeerRequest};
use super::handler::PeerRequestHandler;
use super::MAX_SILENCE;

/// A ping is sent after this long without a request.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of an attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before the next attempt to connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(300);

/// A request that waits to be sent, and the channel for its response.
#[derive(Debug)]
struct QueuedRequest {
    request: PeerRequest,
    response_sender: oneshot::Sender<ApiResponse>,
}

/// Channels for the responses to requests sent on the current connection, by request id.
type PendingResponses = Mutex<HashMap<u64, oneshot::Sender<ApiResponse>>>;

/// The link on which this controller sends requests to another one. It connects again
/// whenever its connection ends.
#[derive(Debug)]
pub struct PeerLink {
    host: String,
    address: SocketAddr,
    requests: mpsc::Sender<QueuedRequest>,
    /// The receiver of `requests`, until [`run`](Self::run) takes it.
    queue: Mutex<Option<mpsc::Receiver<QueuedRequest>>>,
    /// When the last frame was received; `None` while the link is not connected.
    last_frame_at: Mutex<Option<Instant>>,
}

impl PeerLink {
    /// Creates a link that is not connected yet. Up to `max_queued_requests` requests may
    /// wait to be sent: as many as there can be users and workers that cause one.
    pub fn new(host: String, address: SocketAddr, max_queued_requests: usize) -> Arc<Self> {
        let (requests, queue) = mpsc::channel(max_queued_requests);
        Arc::new(Self {
            host,
            address,
            requests,
            queue: Mutex::new(Some(queue)),
            last_frame_at: Mutex::new(None),
        })
    }

    /// Name of the controller that the link leads to.
    pub fn host(&self) -> &str {
        &self.host
    }

    /// Whether the link is connected and received a frame less than `MAX_SILENCE` ago.
    pub fn is_alive(&self) -> bool {
        self.last_frame_at
            .lock()
            .is_some_and(|at| at.elapsed() < MAX_SILENCE)
    }

    /// Sends a request and waits for its response. Returns `None` if the link is not alive,
    /// too many requests wait to be sent, the connection ended, or no response came within
    /// `response_timeout`. The request may have been carried out nevertheless.
    pub async fn request(&self, request: PeerRequest, response_timeout: Duration) -> Option<ApiResponse> {
        if !self.is_alive() {
            return None;
        }
        let (response_sender, response_receiver) = oneshot::channel();
        let queued = QueuedRequest {
            request,
            response_sender,
        };
        self.requests.try_send(queued).ok()?;
        timeout(response_timeout, response_receiver).await.ok()?.ok()
    }

    /// Keeps the link connected forever. Only the first call has an effect.
    pub async fn run(self: Arc<Self>, handler: Arc<impl PeerRequestHandler>) {
        let Some(mut queue) = self.queue.lock().take() else {
            return;
        };
        loop {
            if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
                let _ = stream.set_nodelay(true);
                let result = self.run_connection(stream, &mut queue, &*handler).await;
                debug!(peer = %self.host, ?result, "connection to another controller ended");
            }
            *self.last_frame_at.lock() = None;
            sleep(RECONNECT_PAUSE).await;
        }
    }

    /// Sends requests and reads responses on one connection until it ends.
    async fn run_connection(
        &self,
        stream: TcpStream,
        queue: &mut mpsc::Receiver<QueuedRequest>,
        handler: &impl PeerRequestHandler,
    ) -> Result<(), LinkError> {
        let (read, write) = stream.into_split();
        let pending = PendingResponses::default();
        tokio::select! {
            result = self.read_responses(BufReader::new(read), &pending, handler) => result,
            result = send_requests(write, queue, &pending, handler) => result,
        }
    }

    async fn read_responses(
        &self,
        mut read: impl AsyncRead + Unpin,
        pending: &PendingResponses,
        handler: &impl PeerRequestHandler,
    ) -> Result<(), LinkError> {
        loop {
            let frame = read_frame_with_timeout(&mut read).await?;
            *self.last_frame_at.lock() = Some(Instant::now());
            match frame {
                Frame::Response { id, term, response } => {
                    handler.observe_term(term);
                    if let Some(response_sender) = pending.lock().remove(&id) {
                        let _ = response_sender.send(response);
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

/// Sends a hello, then requests from the queue, and pings while there are none. Returns
/// `Ok` if the queue is closed.
async fn send_requests(
    mut write: OwnedWriteHalf,
    queue: &mut mpsc::Receiver<QueuedRequest>,
    pending: &PendingResponses,
    handler: &impl PeerRequestHandler,
) -> Result<(), LinkError> {
    let mut out = Vec::new();
    let host = handler.host().to_owned();
    // The hello is sent together with the first request or ping.
    encode(&Frame::Hello { host }, &mut out)?;
    let mut next_id = 0;
    loop {
        let first = tokio::select! {
            queued = queue.recv() => match queued {
                Some(queued) => Some(queued),
                None => return Ok(()),
            },
            () = sleep(PING_INTERVAL) => None,
        };
        if first.is_none() {
            // Forgets requests whose callers no longer wait for the response.
            pending
                .lock()
                .retain(|_, response_sender| !response_sender.is_closed());
            let request = PeerRequest::Ping {
                term: handler.known_term(),
            };
            encode(&Frame::Request { id: next_id, request }, &mut out)?;
            next_id += 1;
        }
        // Requests that are queued already are sent in one write.
        let mut next = first;
        while let Some(QueuedRequest {
            request,
            response_sender,
        }) = next
        {
            pending.lock().insert(next_id, response_sender);
            encode(&Frame::Request { id: next_id, request }, &mut out)?;
            next_id += 1;
            next = next_for_batch(queue, out.len());
        }
        write.write_all(&out).await?;
        out.clear();
    }
}
