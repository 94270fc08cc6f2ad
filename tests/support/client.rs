//! A client for one request at a time that names why a request has no response,
//! which [`bitternfold::http::HttpError`] leaves out.

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

/// How long the request may take in all, the connection included. The connection has
/// no shorter bound of its own: when the listen queue of a server that isn't scheduled
/// is full, the kernel drops the SYN, and the client's sends it again only after 1 s.
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
    /// No complete response within [`REQUEST_TIMEOUT`].
    #[error("response timed out")]
    ResponseTimedOut,
}

/// A request without a response: why, and how long after its start.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("{failure} after {after:?}")]
pub struct FailedRequest {
    failure: RequestFailure,
    after: Duration,
}

/// Sends a request over a connection of its own; the status and the body (null
/// if it is no JSON).
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
        .map_err(|e| broken(&e))?;
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
        let response = sender.send_request(request).await.map_err(|e| broken(&e))?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.map_err(|e| broken(&e))?;
        Ok((
            status,
            serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null),
        ))
    };
    let response = timeout_at(deadline, response).await;
    // Closes the connection also when the response was given up.
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

/// What an established connection ended with.
fn broken(error: &hyper::Error) -> RequestFailure {
    let io = error
        .source()
        .and_then(|source| source.downcast_ref::<io::Error>());
    io.map_or(RequestFailure::ConnectionClosed, |e| {
        RequestFailure::ConnectionBroken(e.kind())
    })
}
