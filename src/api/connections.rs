//! Incoming connections: accepted within the budget of sockets, and closed in time.

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

/// Least time that a connection may be idle.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Heartbeats that a worker may miss before its idle connection is closed.
const IDLE_HEARTBEATS: u32 = 4;
/// How long a request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failure to accept, so that the loop doesn't spin.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How long a connection may keep its socket. The other side can't be relied on to
/// close it: a machine that loses power never does.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionTimeouts {
    /// From the connection's begin, or a response, to the headers of the next request.
    pub idle: Duration,
    /// From the headers of a request to its response.
    pub request: Duration,
}

impl ConnectionTimeouts {
    /// Timeouts for workers that send a heartbeat at this interval, and users who poll
    /// every few seconds; well above what either needs.
    pub fn new(heartbeat_interval: Duration) -> Self {
        Self {
            idle: MIN_IDLE_TIMEOUT.max(heartbeat_interval * IDLE_HEARTBEATS),
            request: REQUEST_TIMEOUT,
        }
    }
}

/// Serves the endpoints for ever. Connections beyond the share of sockets wait in the
/// listener's queue, where the load balancer and the workers time out and try another
/// controller.
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
                let in_time = service_fn(move |request| {
                    let response = timeout(timeouts.request, routes.call(request));
                    async move { response.await.map(|Ok(response)| response) }
                });
                let connection = http.serve_connection(TokioIo::new(stream), in_time);
                // Not awaited: it ends by the timeouts, and the permit counts it.
                tokio::spawn(async move {
                    // The other side may reset or drop the connection at any time.
                    let _ = connection.await;
                    drop(permit);
                });
            }
            Err(error) => {
                // Either this connection alone has failed, or no socket is left.
                info!(%error, "can't accept a connection");
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}
