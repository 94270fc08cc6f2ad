//! An HTTP client that opens a connection for each request and reports why a request
//! got no response, which [`bitternfold::http::HttpError`] does not tell.

use std::error::Error as _;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::Request;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// Timeout of a whole request, including the time to connect. Connecting has no shorter
/// timeout of its own: while the server process isn't scheduled, its listen queue may be
/// full; its kernel then drops the SYN, and the client's kernel retransmits it only
/// after 1 s.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a request has no response.
#[derive(Debug, Clone, Copy, thiserror::Error)]
pub enum RequestFailure {
    /// The connection was refused.
    #[error("connection refused")]
    ConnectionRefused,
    /// The connection was not established within [`REQUEST_TIMEOUT`].
    #[error("connect timed out")]
    ConnectTimedOut,
    /// The connection could not be established for another reason.
    #[error("connect failed: {0}")]
    ConnectFailed(io::ErrorKind),
    /// The connection was established and then broke: reset, broken pipe and the like.
    #[error("connection broken: {0}")]
    ConnectionBroken(io::ErrorKind),
    /// The server closed the connection before the response was complete.
    #[error("connection closed before the response")]
    ConnectionClosed,
    /// No complete response arrived within [`REQUEST_TIMEOUT`].
    #[error("response timed out")]
    ResponseTimedOut,
}

/// A request without a response: the reason, and when it failed, counted from its start.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("{failure} after {after:?}")]
pub struct FailedRequest {
    failure: RequestFailure,
    after: Duration,
}

/// Sends a request over a new connection. Returns the status and the body, which is
/// null if it isn't JSON.
pub async fn request(
    method: &str,
    addr: SocketAddr,
    path: &str,
    body: Option<Value>,
) -> Result<(u16, Value), FailedRequest> {
    let start = Instant::now();
    exchange(method, addr, path, body)
        .await
        .map_err(|failure| FailedRequest {
            failure,
            after: start.elapsed(),
        })
}

async fn exchange(
    method: &str,
    addr: SocketAddr,
    path: &str,
    body: Option<Value>,
) -> Result<(u16, Value), RequestFailure> {
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    let stream = connect(addr, deadline).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| connection_failure(&e))?;
    let driver = tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", addr.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(
            body.map(|body| body.to_string()).unwrap_or_default(),
        )))
        .expect("a request");
    let response = async {
        let response = sender
            .send_request(request)
            .await
            .map_err(|e| connection_failure(&e))?;
        let status = response.status().as_u16();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|e| connection_failure(&e))?;
        Ok((
            status,
            serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null),
        ))
    };
    let response = timeout_at(deadline, response).await;
    // Closes the connection, also after a timeout.
    driver.abort();
    response.unwrap_or(Err(RequestFailure::ResponseTimedOut))
}

async fn connect(addr: SocketAddr, deadline: Instant) -> Result<TcpStream, RequestFailure> {
    let stream = timeout_at(deadline, TcpStream::connect(addr))
        .await
        .map_err(|_| RequestFailure::ConnectTimedOut)?
        .map_err(|e| match e.kind() {
            io::ErrorKind::ConnectionRefused => RequestFailure::ConnectionRefused,
            other => RequestFailure::ConnectFailed(other),
        })?;
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// The failure that an error on an established connection stands for.
fn connection_failure(error: &hyper::Error) -> RequestFailure {
    let io = error
        .source()
        .and_then(|source| source.downcast_ref::<io::Error>());
    io.map_or(RequestFailure::ConnectionClosed, |e| {
        RequestFailure::ConnectionBroken(e.kind())
    })
}
