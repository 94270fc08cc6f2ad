//! What the controllers say to each other on `back`: length-prefixed borsh
//! frames over TCP, questions and answers matched by number.

use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use borsh::{BorshDeserialize, BorshSerialize};
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};
use tracing::{debug, info};

use crate::response::ApiResponse;

/// Largest frame.
const MAX_FRAME_BYTES: usize = 256 * 1024;
/// Bytes of frames sent together.
pub const MAX_BATCH_BYTES: usize = 64 * 1024;
/// Pause between two pings.
const PING: Duration = Duration::from_millis(500);
/// A link that says nothing for so long is cut.
const SILENCE: Duration = Duration::from_millis(2500);

/// A question to another controller.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum PeerRequest {
    /// Are you there? Tells the highest term known here.
    Ping {
        /// The term.
        term: u64,
    },
    /// A user's submission.
    Submit(Vec<u8>),
    /// A user's poll.
    Poll(String),
    /// A user's cancellation.
    Cancel(String),
    /// A worker's report.
    Heartbeat(Vec<u8>),
}

/// A controller that leads, as far as is known.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct KnownLeader {
    /// The term that it was elected for.
    pub term: u64,
    /// Its name.
    pub host: String,
}

/// What a controller does with what others send it. All methods but
/// [`handle_request`](Self::handle_request) return at once.
pub trait PeerRequestHandler: Send + Sync + 'static {
    /// This controller's name.
    fn host(&self) -> &str;

    /// Most responses that wait to be sent on one link.
    fn max_pending_responses(&self) -> usize;

    /// The highest term known here.
    fn known_term(&self) -> u64;

    /// The latest leader known here.
    fn known_leader(&self) -> Option<KnownLeader>;

    /// Another controller knows of this term.
    fn observe_term(&self, term: u64);

    /// Another controller knows this leader.
    fn observe_leader(&self, leader: Option<KnownLeader>);

    /// A frame came from this controller.
    fn peer_alive(&self, host: &str);

    /// The link from this controller ended.
    fn peer_disconnected(&self, host: &str);

    /// Responds to a worker's heartbeat that the controller `from` passes on.
    fn handle_heartbeat(&self, from: &str, body: &[u8]) -> ApiResponse;

    /// Responds to a request of the controller `from`.
    fn handle_request(&self, from: &str, request: PeerRequest) -> impl Future<Output = ApiResponse> + Send;
}

/// What goes over a link. Its bytes are those of all earlier versions: a variant
/// that one of them can't read would end its connection, so what is new goes into
/// the JSON bodies inside.
#[derive(Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Frame {
    /// The first on a link.
    Hello {
        /// Who asks.
        host: String,
    },
    /// A question.
    PeerRequest {
        /// Its number on this link.
        id: u64,
        /// The question.
        request: PeerRequest,
    },
    /// The answer to a question.
    Response {
        /// The question's number.
        id: u64,
        /// The highest term known to the one who answers.
        term: u64,
        /// The answer.
        response: ApiResponse,
    },
    /// I am here; the highest term that I know of, and the latest leader.
    Pong {
        /// The term.
        term: u64,
        /// That leader, if any is known.
        leader: Option<KnownLeader>,
    },
}

/// Appends a frame to what is to be sent.
pub fn encode(frame: &Frame, out: &mut Vec<u8>) -> io::Result<()> {
    let at = out.len();
    out.extend([0; 4]);
    frame.serialize(out)?;
    let len = (out.len() - at - 4) as u32;
    out[at..at + 4].copy_from_slice(&len.to_be_bytes());
    Ok(())
}

/// The next that is ready for a batch of so many bytes, up to 64 KiB. Where the batch is full it
/// stays in the queue: what is taken out and not sent is lost.
pub fn next_for<T>(queue: &mut mpsc::Receiver<T>, bytes: usize) -> Option<T> {
    if bytes < MAX_BATCH_BYTES {
        queue.try_recv().ok()
    } else {
        None
    }
}

/// Reads the next frame. Those that a later version may send, and that mean
/// nothing here, are passed over: the length before each tells where the next is.
pub async fn read_frame(r: &mut (impl AsyncRead + Unpin)) -> io::Result<Frame> {
    loop {
        let len = r.read_u32().await? as usize;
        if len > MAX_FRAME_BYTES {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "frame too long"));
        }
        let mut buf = vec![0; len];
        r.read_exact(&mut buf).await?;
        match borsh::from_slice(&buf) {
            Ok(frame) => return Ok(frame),
            Err(e) => debug!(error = %e, "a frame that can't be read is passed over"),
        }
    }
}

type QueuedRequest = (PeerRequest, oneshot::Sender<ApiResponse>);

/// The link to another controller, for questions of ours.
#[derive(Debug)]
pub struct PeerLink {
    /// Its name.
    pub host: String,
    addr: SocketAddr,
    requests: mpsc::Sender<QueuedRequest>,
    inbox: Mutex<Option<mpsc::Receiver<QueuedRequest>>>,
    last_heartbeat: Mutex<Option<Instant>>,
}

impl PeerLink {
    /// A link that is not connected yet, with room for so many questions that wait
    /// to be sent: as many as there are requests that may ask one.
    pub fn new(host: String, addr: SocketAddr, max_waiting: usize) -> Arc<Self> {
        let (requests, inbox) = mpsc::channel(max_waiting);
        Arc::new(Self {
            host,
            addr,
            requests,
            inbox: Mutex::new(Some(inbox)),
            last_heartbeat: Mutex::new(None),
        })
    }

    /// Whether the other side was heard of late.
    pub fn alive(&self) -> bool {
        self.last_heartbeat.lock().is_some_and(|t| t.elapsed() < SILENCE)
    }

    /// Asks; `None`: no answer in time.
    pub async fn request(&self, request: PeerRequest, patience: Duration) -> Option<ApiResponse> {
        if !self.alive() {
            return None;
        }
        let (tx, rx) = oneshot::channel();
        self.requests.try_send((request, tx)).ok()?;
        timeout(patience, rx).await.ok()?.ok()
    }

    /// Keeps the link connected for ever.
    pub async fn run(self: Arc<Self>, handler: Arc<impl PeerRequestHandler>) {
        let Some(mut inbox) = self.inbox.lock().take() else {
            return;
        };
        loop {
            if let Ok(Ok(stream)) = timeout(Duration::from_secs(1), TcpStream::connect(self.addr)).await {
                let _ = stream.set_nodelay(true);
                let end = self.serve(stream, &mut inbox, &handler).await;
                debug!(peer = %self.host, ?end, "link ended");
            }
            *self.last_heartbeat.lock() = None;
            sleep(Duration::from_millis(300)).await;
        }
    }

    async fn serve(
        &self,
        stream: TcpStream,
        inbox: &mut mpsc::Receiver<QueuedRequest>,
        handler: &Arc<impl PeerRequestHandler>,
    ) -> io::Result<()> {
        let (read, mut write) = stream.into_split();
        let mut read = BufReader::new(read);
        let mut out = Vec::new();
        let hello = Frame::Hello {
            host: handler.host().to_owned(),
        };
        encode(&hello, &mut out)?;
        let pending: Arc<Mutex<HashMap<u64, oneshot::Sender<ApiResponse>>>> = Arc::default();
        let mut next = 0u64;
        let reader = async {
            loop {
                let frame = timeout(SILENCE, read_frame(&mut read))
                    .await
                    .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
                *self.last_heartbeat.lock() = Some(Instant::now());
                match frame {
                    Frame::Response { id, term, response } => {
                        handler.observe_term(term);
                        if let Some(tx) = pending.lock().remove(&id) {
                            let _ = tx.send(response);
                        }
                    }
                    Frame::Pong { term, leader } => {
                        handler.observe_term(term);
                        handler.observe_leader(leader);
                    }
                    Frame::Hello { .. } | Frame::PeerRequest { .. } => {}
                }
            }
        };
        let writer = async {
            loop {
                let first = tokio::select! {
                    q = inbox.recv() => match q {
                        Some(q) => Some(q),
                        None => return Ok(()),
                    },
                    () = sleep(PING) => None,
                };
                if first.is_none() {
                    pending.lock().retain(|_, t| !t.is_closed());
                    let request = PeerRequest::Ping {
                        term: handler.known_term(),
                    };
                    encode(&Frame::PeerRequest { id: next, request }, &mut out)?;
                    next += 1;
                }
                // All that is ready goes in one packet.
                let mut queued = first;
                while let Some((request, tx)) = queued {
                    pending.lock().insert(next, tx);
                    encode(&Frame::PeerRequest { id: next, request }, &mut out)?;
                    next += 1;
                    queued = next_for(inbox, out.len());
                }
                write.write_all(&out).await?;
                out.clear();
            }
        };
        tokio::select! {
            r = reader => r,
            r = writer => r,
        }
    }
}

/// Accepts the links of other controllers for ever.
pub async fn listen(listener: TcpListener, handler: Arc<impl PeerRequestHandler>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let handler = handler.clone();
                tokio::spawn(async move {
                    let _ = stream.set_nodelay(true);
                    let _ = answer(stream, handler).await;
                });
            }
            Err(e) => {
                info!(error = %e, "can't accept a controller's link");
                sleep(Duration::from_millis(200)).await;
            }
        }
    }
}

async fn answer(stream: TcpStream, handler: Arc<impl PeerRequestHandler>) -> io::Result<()> {
    let (read, mut write) = stream.into_split();
    let mut read = BufReader::new(read);
    let Frame::Hello { host } = timeout(SILENCE, read_frame(&mut read))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??
    else {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "no greeting"));
    };
    let (tx, mut rx) = mpsc::channel::<Frame>(handler.max_pending_responses());
    let reader = async {
        loop {
            let frame = timeout(SILENCE, read_frame(&mut read))
                .await
                .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            handler.peer_alive(&host);
            let Frame::PeerRequest { id, request } = frame else {
                continue;
            };
            if let PeerRequest::Ping { term } = request {
                handler.observe_term(term);
                let (term, leader) = (handler.known_term(), handler.known_leader());
                let _ = tx.try_send(Frame::Pong { term, leader });
                continue;
            }
            if let PeerRequest::Heartbeat(body) = request {
                // Answered on the spot; most questions are of this kind.
                let response = handler.handle_heartbeat(&host, &body);
                let _ = tx.try_send(Frame::Response {
                    id,
                    term: handler.known_term(),
                    response,
                });
                continue;
            }
            let (handler, tx, host) = (handler.clone(), tx.clone(), host.clone());
            tokio::spawn(async move {
                let response = handler.handle_request(&host, request).await;
                let _ = tx.try_send(Frame::Response {
                    id,
                    term: handler.known_term(),
                    response,
                });
            });
        }
    };
    let writer = async {
        // All that is ready goes in one packet.
        let mut out = Vec::new();
        while let Some(frame) = rx.recv().await {
            encode(&frame, &mut out)?;
            while let Some(more) = next_for(&mut rx, out.len()) {
                encode(&more, &mut out)?;
            }
            write.write_all(&out).await?;
            out.clear();
        }
        Ok(())
    };
    let end: io::Result<()> = tokio::select! {
        r = reader => r,
        r = writer => r,
    };
    handler.peer_disconnected(&host);
    end
}
