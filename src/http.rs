//! Small HTTP clients. Every call has a deadline; a call that is given up
//! closes its connection, so that a late answer can't be taken for another's.

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

/// Why there is no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// No connection: the request was never sent.
    #[error("no connection")]
    Unsent,
    /// No answer: it may have been carried out, or may still be.
    #[error("no answer")]
    Unanswered,
}

/// A response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Bytes,
}

impl Response {
    async fn of(response: hyper::Response<Incoming>) -> Result<Self, HttpError> {
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_BYTES)
            .collect()
            .await
            .map_err(|_| HttpError::Unanswered)?
            .to_bytes();
        Ok(Self { status, body })
    }
}

/// Largest response taken.
const MAX_BYTES: usize = 64 * 1024 * 1024;
/// How long a connection may take.
const CONNECT: Duration = Duration::from_millis(800);

fn request(
    method: Method,
    uri: String,
    host: &str,
    body: Option<Vec<u8>>,
) -> Result<Request<Full<Bytes>>, HttpError> {
    Request::builder()
        .method(method)
        .uri(uri)
        .header("host", host)
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.unwrap_or_default())))
        .map_err(|_| HttpError::Unsent)
}

/// A client for the few services that are asked often, over pooled connections.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let mut tcp = HttpConnector::new();
        tcp.set_nodelay(true);
        tcp.set_connect_timeout(Some(CONNECT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .pool_max_idle_per_host(4)
            .build(tcp);
        Self { client }
    }
}

impl HttpClient {
    /// Sends a request and waits for the whole response, at most `timeout`.
    pub async fn call(
        &self,
        method: Method,
        addr: &str,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<Response, HttpError> {
        let request = request(method, format!("http://{addr}{path}"), addr, body)?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|e| {
                if e.is_connect() {
                    HttpError::Unsent
                } else {
                    HttpError::Unanswered
                }
            })?;
            Response::of(response).await
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or(Err(HttpError::Unanswered))
    }
}

/// Posts over a connection of its own, closed at once after: for the many
/// whom keeping a connection each would cost too many sockets. `go` is asked
/// when the connection stands and the request is about to be handed over: what
/// was decided before the process stood still must not be sent after.
pub async fn post_once(
    addr: &str,
    path: &str,
    body: Vec<u8>,
    timeout: Duration,
    go: impl Fn() -> bool,
) -> Result<Response, HttpError> {
    let request = request(Method::POST, path.to_owned(), addr, Some(body))?;
    let exchange = async {
        let stream = tokio::time::timeout(CONNECT, TcpStream::connect(addr))
            .await
            .map_err(|_| HttpError::Unsent)?
            .map_err(|_| HttpError::Unsent)?;
        let _ = stream.set_nodelay(true);
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| HttpError::Unsent)?;
        if !go() {
            return Err(HttpError::Unsent);
        }
        let answer = async {
            let response = sender
                .send_request(request)
                .await
                .map_err(|_| HttpError::Unanswered)?;
            Response::of(response).await
        };
        // The connection is driven here and ends with the exchange.
        tokio::pin!(answer);
        tokio::select! {
            biased;
            r = &mut answer => r,
            _ = connection => answer.await,
        }
    };
    tokio::time::timeout(timeout, exchange)
        .await
        .unwrap_or(Err(HttpError::Unanswered))
}
