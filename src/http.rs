//! A small HTTP client for the services and the workers, over pooled
//! connections. Every call has a deadline; a call that is given up closes its
//! connection, so that a late answer can't be taken for another's.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};

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

/// The client.
#[derive(Debug, Clone)]
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Largest response taken.
const MOST_BYTES: usize = 64 * 1024 * 1024;

impl Http {
    /// A client that gives up connecting after `connect`.
    pub fn new(connect: Duration) -> Self {
        let mut tcp = HttpConnector::new();
        tcp.set_nodelay(true);
        tcp.set_connect_timeout(Some(connect));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .pool_max_idle_per_host(4)
            .build(tcp);
        Self { client }
    }

    /// Sends a request and waits for the whole response, at most `timeout`.
    pub async fn call(
        &self,
        method: Method,
        addr: &str,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<Response, HttpError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.unwrap_or_default())))
            .map_err(|_| HttpError::Unsent)?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|e| {
                if e.is_connect() {
                    HttpError::Unsent
                } else {
                    HttpError::Unanswered
                }
            })?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), MOST_BYTES)
                .collect()
                .await
                .map_err(|_| HttpError::Unanswered)?
                .to_bytes();
            Ok(Response { status, body })
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or(Err(HttpError::Unanswered))
    }
}
