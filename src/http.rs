//! HTTP/1.1 clients: [`HttpClient`] keeps pooled connections to the services that are
//! called often; [`post_unpooled`] opens a connection for a single request.
//!
//! Every request has a timeout. A request that times out or is dropped closes its
//! connection, so that a late response can't be taken for that of another request.

use std::error::Error;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Method, Request};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::TcpStream;

/// Why a request got no response. The variants tell whether it may have been executed.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The request was never sent, so it was not executed.
    #[error("no connection to {address}: {source}")]
    Unsent {
        /// Address of the server, as `host:port`.
        address: String,
        /// The step before sending that failed.
        source: TransportError,
    },
    /// The request was sent, or part of it: it may have been executed, or may
    /// still be.
    #[error("no response from {address}: {source}")]
    Unanswered {
        /// Address of the server, as `host:port`.
        address: String,
        /// The step that failed, or the timeout that expired.
        source: TransportError,
    },
}

impl HttpError {
    fn unsent(address: &str, source: impl Into<TransportError>) -> Self {
        Self::Unsent {
            address: address.to_owned(),
            source: source.into(),
        }
    }

    fn unanswered(address: &str, source: impl Into<TransportError>) -> Self {
        Self::Unanswered {
            address: address.to_owned(),
            source: source.into(),
        }
    }
}

/// The step of a request that failed.
#[derive(Debug, thiserror::Error)]
pub enum TransportError {
    /// The request can't be built, for example because the path is malformed.
    #[error("malformed request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The connection could not be opened.
    #[error("can't connect: {0}")]
    Connect(#[from] io::Error),
    /// The connection broke, or the response is not HTTP/1.1.
    #[error("{0}")]
    Connection(#[from] hyper::Error),
    /// The same on a pooled connection, or a pooled connection could not be opened.
    #[error("{0}")]
    Pool(#[from] hyper_util::client::legacy::Error),
    /// The body of the response is incomplete, or exceeds [`MAX_RESPONSE_BYTES`].
    #[error("response body: {0}")]
    Body(#[source] Box<dyn Error + Send + Sync>),
    /// This timeout of the connection or the request expired.
    #[error("timed out after {0:?}")]
    TimedOut(Duration),
}

/// Why [`post_unpooled`] returns no response; `R` is the caller's reason not to send.
#[derive(Debug, thiserror::Error)]
pub enum PostError<R> {
    /// The caller's `permit` refused once the connection was open; nothing was sent.
    #[error("request withheld: {0}")]
    Withheld(R),
    /// Connecting, sending or receiving failed.
    #[error(transparent)]
    Http(#[from] HttpError),
}

/// A response whose body was received as a whole.
#[derive(Debug, Clone)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Body, at most [`MAX_RESPONSE_BYTES`] long.
    pub body: Bytes,
}

impl Response {
    async fn receive(response: hyper::Response<Incoming>, address: &str) -> Result<Self, HttpError> {
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|e| HttpError::unanswered(address, TransportError::Body(e)))?
            .to_bytes();
        Ok(Self { status, body })
    }
}

/// Largest accepted body of a response, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Timeout of opening a connection, as part of the request's own timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// How long an unused connection stays in the pool.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Unused connections that the pool keeps for each server.
const MAX_IDLE_PER_HOST: usize = 4;

fn build_request(
    method: Method,
    uri: String,
    address: &str,
    body: Option<Vec<u8>>,
) -> Result<Request<Full<Bytes>>, HttpError> {
    Request::builder()
        .method(method)
        .uri(uri)
        .header("host", address)
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.unwrap_or_default())))
        .map_err(|e| HttpError::unsent(address, e))
}

/// Client with pooled connections, for the few services that are called often. Clones
/// share the pool.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_PER_HOST)
            .build(connector);
        Self { client }
    }
}

impl HttpClient {
    /// Sends a request to `address` (`host:port`) and waits at most `timeout` for the
    /// complete response.
    pub async fn send_request(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<Response, HttpError> {
        let request = build_request(method, format!("http://{address}{path}"), address, body)?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|e| {
                if e.is_connect() {
                    HttpError::unsent(address, e)
                } else {
                    HttpError::unanswered(address, e)
                }
            })?;
            Response::receive(response, address).await
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(HttpError::unanswered(address, TransportError::TimedOut(timeout))))
    }
}

async fn connect(address: &str) -> Result<TcpStream, HttpError> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| HttpError::unsent(address, TransportError::TimedOut(CONNECT_TIMEOUT)))?
        .map_err(|e| HttpError::unsent(address, e))?;
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Sends a POST request over a new connection, which is closed afterwards. For servers
/// so numerous that a pooled connection to each would take too many sockets.
///
/// `permit` is called once the connection is open, right before the request is sent. It
/// checks again a decision that was made earlier, as a decision made before a pause of
/// the process must not be sent after it.
pub async fn post_unpooled<R>(
    address: &str,
    path: &str,
    body: Vec<u8>,
    timeout: Duration,
    permit: impl FnOnce() -> Result<(), R>,
) -> Result<Response, PostError<R>> {
    let request = build_request(Method::POST, path.to_owned(), address, Some(body))?;
    let exchange = async {
        let stream = connect(address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| HttpError::unsent(address, e))?;
        permit().map_err(PostError::Withheld)?;
        let response = async {
            let response = sender
                .send_request(request)
                .await
                .map_err(|e| HttpError::unanswered(address, e))?;
            Response::receive(response, address).await
        };
        // The connection is polled here, not in a task, so that it ends with the request.
        tokio::pin!(response);
        let outcome = tokio::select! {
            biased;
            outcome = &mut response => outcome,
            _ = connection => response.await,
        };
        Ok(outcome?)
    };
    tokio::time::timeout(timeout, exchange)
        .await
        .unwrap_or_else(|_| Err(HttpError::unanswered(address, TransportError::TimedOut(timeout)).into()))
}
