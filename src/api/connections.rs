//! Accepts incoming connections within the budget of sockets, and closes those that time
//! out.

use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::{service_fn, Service};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};
use tracing::info;

use super::routes::routes;
use crate::controller::Controller;

/// Minimum idle timeout of a connection, however short the heartbeat interval is.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Heartbeats that a worker may miss before its idle connection is closed.
const IDLE_HEARTBEATS: u32 = 4;
/// Time from the headers of a request to its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, so that the loop doesn't spin.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Time limits after which a connection is closed. A client can't be relied on to close
/// it: a machine that loses power never does.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionTimeouts {
    /// From the start of the connection, or from a response, to the headers of the next
    /// request.
    pub idle: Duration,
    /// From the headers of a request to its response.
    pub request: Duration,
}

impl ConnectionTimeouts {
    /// Timeouts well above what is needed by workers that send a heartbeat at this interval
    /// and by users who poll every few seconds.
    pub fn new(heartbeat_interval: Duration) -> Self {
        Self {
            idle: MIN_IDLE_TIMEOUT.max(heartbeat_interval * IDLE_HEARTBEATS),
            request: REQUEST_TIMEOUT,
        }
    }
}

/// Serves the HTTP endpoints forever. Connections beyond the share of sockets wait in the
/// listener's queue until a socket is free, or until the load balancer or the worker times
/// out and tries another controller.
pub async fn serve(listener: TcpListener, controller: Arc<Controller>, timeouts: ConnectionTimeouts) {
    let service = warp::service(routes(controller.clone()));
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(timeouts.idle);
    loop {
        let permit = controller.sockets().acquire_incoming_socket().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let routes = TowerToHyperService::new(service.clone());
                let service_with_timeout = service_fn(move |request| {
                    let response = timeout(timeouts.request, routes.call(request));
                    async move { response.await.map(|Ok(response)| response) }
                });
                let connection = http.serve_connection(TokioIo::new(stream), service_with_timeout);
                // The task needs no handle: the timeouts end it, and its permit bounds
                // the number of such tasks.
                tokio::spawn(async move {
                    // Errors are ignored: a client may reset or drop the connection at any
                    // time.
                    let _ = connection.await;
                    drop(permit);
                });
            }
            Err(error) => {
                // Either only this connection failed, or the process has no sockets left.
                info!(%error, "failed to accept a connection");
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}
