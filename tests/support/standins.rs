//! Stand-ins for the external services, which speak their protocols on loopback: a state
//! service ([`StateService`]), and a cloud with its workers ([`Cloud`]).
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
pub use state_service::StateService;

/// The status and body of a response.
type JsonResponse = (u16, Value);

fn json_response((status, body): JsonResponse) -> impl warp::Reply {
    warp::reply::with_status(
        warp::reply::json(&body),
        warp::http::StatusCode::from_u16(status).expect("a status"),
    )
}

/// Serves these routes on a free port of 127.0.0.1; returns the address.
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

/// Sends a request. Returns the status and the body, or 0 and null if there is no
/// response.
pub async fn send_request(method: &str, addr: SocketAddr, path: &str, body: Option<Value>) -> (u16, Value) {
    let client = HttpClient::default();
    let method = hyper::Method::from_bytes(method.as_bytes()).expect("a method");
    let body = body.map(|body| Bytes::from(body.to_string()).to_vec());
    match client
        .send_request(method, &addr.to_string(), path, body, Duration::from_secs(5))
        .await
    {
        Ok(response) => (
            response.status,
            serde_json::from_slice(&response.body).unwrap_or(Value::Null),
        ),
        Err(_) => (0, Value::Null),
    }
}
