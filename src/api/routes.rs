//! The HTTP endpoints, one function each. The platform prescribes their paths.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use serde_json::json;
use warp::http::HeaderValue;
use warp::{Filter, Rejection, Reply};

use super::responses::{rejection_to_http, to_http};
use crate::controller::Controller;
use crate::response::ApiResponse;
use crate::wire::{JobId, MAX_BODY_BYTES};

type Response = warp::http::Response<Bytes>;

/// The filter that serves all endpoints of a controller.
pub fn routes(
    controller: Arc<Controller>,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone + Send + Sync + 'static {
    health(&controller)
        .or(heartbeat(&controller))
        .unify()
        .or(poll(&controller))
        .unify()
        .or(submit(&controller))
        .unify()
        .or(cancel(&controller))
        .unify()
        .map(|response: Response| response.into_response())
        .recover(rejection_to_http)
        .unify()
}

/// Passes the controller to an endpoint's handler.
fn with_controller(
    controller: &Arc<Controller>,
) -> impl Filter<Extract = (Arc<Controller>,), Error = Infallible> + Clone + Send + Sync + 'static {
    let controller = controller.clone();
    warp::any().map(move || controller.clone())
}

/// Extracts the body of a request; rejects one of more than [`MAX_BODY_BYTES`] bytes.
fn limited_body() -> impl Filter<Extract = (Bytes,), Error = Rejection> + Clone + Send + Sync + 'static {
    warp::body::content_length_limit(MAX_BODY_BYTES).and(warp::body::bytes())
}

/// `GET /up`: whether a load balancer should route users to this controller.
fn health(
    controller: &Arc<Controller>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + Send + Sync + 'static {
    warp::get()
        .and(warp::path!("up"))
        .and(with_controller(controller))
        .map(|controller: Arc<Controller>| {
            to_http(if controller.can_respond_to_users() {
                ApiResponse::with_json(200, &json!({}))
            } else {
                ApiResponse::unavailable("cut off from the state service and the other controllers")
            })
        })
}

/// `POST /v2/runs`: submission of a job.
fn submit(
    controller: &Arc<Controller>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + Send + Sync + 'static {
    warp::post()
        .and(warp::path!("v2" / "runs"))
        .and(limited_body())
        .and(with_controller(controller))
        .then(
            |body: Bytes, controller: Arc<Controller>| async move { to_http(controller.submit(&body).await) },
        )
}

/// `GET /v2/runs/{id}`: status of a job.
fn poll(
    controller: &Arc<Controller>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + Send + Sync + 'static {
    warp::get()
        .and(warp::path!("v2" / "runs" / String))
        .and(with_controller(controller))
        .then(|id: String, controller: Arc<Controller>| async move {
            to_http(match id.parse::<JobId>() {
                Ok(id) => controller.poll_job(id).await,
                Err(_) => unknown_job(),
            })
        })
}

/// `POST /v2/runs/{id}/cancel`: cancellation of a job.
fn cancel(
    controller: &Arc<Controller>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + Send + Sync + 'static {
    warp::post()
        .and(warp::path!("v2" / "runs" / String / "cancel"))
        .and(with_controller(controller))
        .then(|id: String, controller: Arc<Controller>| async move {
            to_http(match id.parse::<JobId>() {
                Ok(id) => controller.cancel(id).await,
                Err(_) => unknown_job(),
            })
        })
}

/// The response for a path segment that is no valid job id: no job with it was accepted.
fn unknown_job() -> ApiResponse {
    ApiResponse::error(404, "no such job")
}

/// `POST /v1/report`: heartbeat of a worker.
fn heartbeat(
    controller: &Arc<Controller>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + Send + Sync + 'static {
    warp::post()
        .and(warp::path!("v1" / "report"))
        .and(limited_body())
        .and(with_controller(controller))
        .then(|body: Bytes, controller: Arc<Controller>| async move {
            let mut response = to_http(controller.respond_to_heartbeat(&body).await);
            if controller.sockets().is_incoming_over_half_used() {
                // The worker opens a new connection for its next heartbeat; until then
                // another client can use the socket.
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert("connection", close);
            }
            response
        })
}
