//! Users', workers' and health endpoints.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::server::conn::http1;
use hyper::service::{service_fn, Service};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};
use tracing::info;
use warp::http::{HeaderValue, StatusCode};
use warp::{Filter, Rejection, Reply as _};

use crate::controller::Controller;
use crate::response::ApiResponse;
use crate::wire::{JobId, BODY_LIMIT};

type Response = warp::http::Response<Bytes>;

/// How long a connection may take: a machine without power never closes its own.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionTimeouts {
    /// Between two requests.
    pub idle: Duration,
    /// For one request and its answer.
    pub request: Duration,
}

impl ConnectionTimeouts {
    /// Well above what users and workers need, who report and ask every few seconds.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            idle: Duration::from_secs(30).max(heartbeat * 4),
            request: Duration::from_secs(10),
        }
    }
}

/// Serves users, workers and health checks for ever. Connections beyond the
/// share of sockets wait in the listener's queue, where the load balancer and
/// the workers pass them on to another controller.
pub async fn serve(listener: TcpListener, controller: Arc<Controller>, timeouts: ConnectionTimeouts) {
    let service = warp::service(routes(controller.clone()));
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(timeouts.idle);
    loop {
        let permit = controller.sockets().acquire_incoming().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let routes = TowerToHyperService::new(service.clone());
                let in_time = service_fn(move |request| {
                    let answer = timeout(timeouts.request, routes.call(request));
                    async move { answer.await.map(|Ok(response)| response) }
                });
                let connection = http.serve_connection(TokioIo::new(stream), in_time);
                tokio::spawn(async move {
                    // Resets and silence of the other side are ordinary.
                    let _ = connection.await;
                    drop(permit);
                });
            }
            Err(e) => {
                // Of this connection alone, or no socket is left: no spinning.
                info!(error = %e, "can't accept a connection");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

fn respond(response: ApiResponse) -> Response {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut b = warp::http::Response::builder()
        .status(status)
        .header("content-type", "application/json");
    let retry = response
        .retry_after
        .or((status == StatusCode::SERVICE_UNAVAILABLE).then_some(1));
    if let Some(s) = retry {
        b = b.header("retry-after", s);
    }
    b.body(Bytes::from(response.body)).unwrap_or_default()
}

async fn rejected(r: Rejection) -> Result<warp::reply::Response, Infallible> {
    let response = if r.find::<warp::reject::PayloadTooLarge>().is_some() {
        ApiResponse::error(413, "body too large")
    } else if r.find::<warp::reject::LengthRequired>().is_some() {
        ApiResponse::error(411, "content-length required")
    } else if r.find::<warp::reject::MethodNotAllowed>().is_some() {
        ApiResponse::error(405, "method not allowed")
    } else if r.is_not_found() {
        ApiResponse::error(404, "no such path")
    } else {
        ApiResponse::error(400, "malformed request")
    };
    Ok(respond(response).into_response())
}

/// All endpoints.
pub fn routes(
    controller: Arc<Controller>,
) -> impl Filter<Extract = (impl warp::Reply,), Error = Infallible> + Clone + Send + Sync + 'static {
    let with = warp::any().map(move || controller.clone());
    let body = warp::body::content_length_limit(BODY_LIMIT).and(warp::body::bytes());

    let up = warp::get()
        .and(warp::path!("up"))
        .and(with.clone())
        .map(|controller: Arc<Controller>| {
            respond(if controller.can_serve() {
                ApiResponse::json(200, &serde_json::json!({}))
            } else {
                ApiResponse::unavailable("cut off from the state service and the other controllers")
            })
        });
    let submit = warp::post()
        .and(warp::path!("v2" / "runs"))
        .and(body)
        .and(with.clone())
        .then(
            |body: Bytes, controller: Arc<Controller>| async move { respond(controller.submit(&body).await) },
        );
    let poll = warp::get()
        .and(warp::path!("v2" / "runs" / String))
        .and(with.clone())
        .then(|id: String, controller: Arc<Controller>| async move {
            // An id that can't be one was never accepted.
            match id.parse::<JobId>() {
                Ok(id) => respond(controller.poll(id).await),
                Err(_) => respond(ApiResponse::error(404, "no such job")),
            }
        });
    let cancel = warp::post()
        .and(warp::path!("v2" / "runs" / String / "cancel"))
        .and(with.clone())
        .then(|id: String, controller: Arc<Controller>| async move {
            match id.parse::<JobId>() {
                Ok(id) => respond(controller.cancel(id).await),
                Err(_) => respond(ApiResponse::error(404, "no such job")),
            }
        });
    let heartbeat = warp::post()
        .and(warp::path!("v1" / "report"))
        .and(body)
        .and(with)
        .then(|body: Bytes, controller: Arc<Controller>| async move {
            let mut r = respond(controller.heartbeat(&body).await);
            if controller.sockets().is_overloaded() {
                // The worker comes back on a new connection; meanwhile its socket serves another.
                r.headers_mut()
                    .insert("connection", HeaderValue::from_static("close"));
            }
            r
        });
    up.or(heartbeat)
        .unify()
        .or(poll)
        .unify()
        .or(submit)
        .unify()
        .or(cancel)
        .unify()
        .map(|r: Response| r.into_response())
        .recover(rejected)
        .unify()
}
