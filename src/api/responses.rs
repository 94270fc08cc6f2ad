//! Converts responses and warp's rejections to HTTP.

use std::convert::Infallible;

use bytes::Bytes;
use warp::http::StatusCode;
use warp::reject::{LengthRequired, MethodNotAllowed, PayloadTooLarge};
use warp::{Rejection, Reply as _};

use crate::response::ApiResponse;

/// The `retry-after` header of a 503 whose response sets none, in seconds.
const DEFAULT_RETRY_AFTER: u16 = 1;

/// Converts a controller's response to HTTP. A status that is not valid in HTTP
/// becomes 503.
pub(super) fn to_http(response: ApiResponse) -> warp::http::Response<Bytes> {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut builder = warp::http::Response::builder()
        .status(status)
        .header("content-type", "application/json");
    let is_unavailable = status == StatusCode::SERVICE_UNAVAILABLE;
    let retry_after = response
        .retry_after
        .or(is_unavailable.then_some(DEFAULT_RETRY_AFTER));
    if let Some(seconds) = retry_after {
        builder = builder.header("retry-after", seconds);
    }
    builder.body(Bytes::from(response.body)).unwrap_or_default()
}

/// The response to a request that no endpoint accepts.
pub(super) async fn rejection_to_http(rejection: Rejection) -> Result<warp::reply::Response, Infallible> {
    let response = if rejection.find::<PayloadTooLarge>().is_some() {
        ApiResponse::error(413, "body too large")
    } else if rejection.find::<LengthRequired>().is_some() {
        ApiResponse::error(411, "content-length required")
    } else if rejection.find::<MethodNotAllowed>().is_some() {
        ApiResponse::error(405, "method not allowed")
    } else if rejection.is_not_found() {
        ApiResponse::error(404, "no such path")
    } else {
        ApiResponse::error(400, "malformed request")
    };
    Ok(to_http(response).into_response())
}
