//! Stand-ins for the external services, speaking their protocols on loopback: a state
//! service ([`State`]), and a cloud with its workers ([`Cloud`]).
#![allow(dead_code)]

pub mod cloud;
pub mod state_service;

use std::net::SocketAddr;
use std::time::Duration;

use bitternfold::http::HttpClient;
use bytes::Bytes;
use serde_json::Value;
use tokio::net::TcpListener;
use warp::Filter;

pub use cloud::Cloud;
pub use state_service::State;

/// The status and body of a response.
type Json = (u16, Value);

fn json_response((status, body): Json) -> impl warp::Reply {
    warp::reply::with_status(
        warp::reply::json(&body),
        warp::http::StatusCode::from_u16(status).expect("a status"),
    )
}

async fn serve<F>(routes: F) -> SocketAddr
where
    F: Filter<Error = warp::Rejection> + Clone + Send + Sync + 'static,
    F::Extract: warp::Reply,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(warp::serve(routes).incoming(listener).run());
    addr
}

/// Sends a user's request; the status and the body, or 0 and null without a response.
pub async fn send_request(method: &str, addr: SocketAddr, path: &str, body: Option<Value>) -> (u16, Value) {
    let http = HttpClient::default();
    let method = hyper::Method::from_bytes(method.as_bytes()).expect("a method");
    let body = body.map(|b| Bytes::from(b.to_string()).to_vec());
    match http
        .call(method, &addr.to_string(), path, body, Duration::from_secs(5))
        .await
    {
        Ok(r) => (r.status, serde_json::from_slice(&r.body).unwrap_or(Value::Null)),
        Err(_) => (0, Value::Null),
    }
}
