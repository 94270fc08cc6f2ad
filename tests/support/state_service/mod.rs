//! A stand-in of the state service, which keeps its data in memory, with faults that tests
//! inject.

mod data;
mod faults;
mod observations;
mod requests;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use bitternfold::wire::*;
use parking_lot::Mutex;
use serde_json::{json, Value};
use tokio::time::sleep;
use warp::Filter;

use super::{json_response, serve};
use data::Data;
pub use data::{LateOutcomes, LateWrites};

/// A state service that keeps its data in memory.
#[derive(Default)]
pub struct StateService(Mutex<Data>);

impl StateService {
    /// Starts the endpoint for one controller on a free port of 127.0.0.1; returns the
    /// address. Each controller has its own, so that tests can refuse its requests alone.
    pub async fn start(self: &Arc<Self>, controller: usize) -> SocketAddr {
        let state = self.clone();
        let check_refused = warp::any()
            .and_then(move || {
                let (refused, latency) = {
                    let data = state.0.lock();
                    (data.refused_controllers.contains(&controller), data.latency)
                };
                async move {
                    if !latency.is_zero() {
                        sleep(latency).await;
                    }
                    if refused {
                        Err(warp::reject::reject())
                    } else {
                        Ok(())
                    }
                }
            })
            .untuple_one();
        let state = self.clone();
        let with_state = warp::any().map(move || state.clone());
        let query = warp::query::<HashMap<String, String>>();
        let list = warp::get()
            .and(warp::path!("kv"))
            .and(query)
            .and(with_state.clone())
            .map(|query: HashMap<String, String>, state: Arc<StateService>| {
                json_response(state.list(&query))
            });
        let get = warp::get()
            .and(warp::path("kv"))
            .and(warp::path::tail())
            .and(with_state.clone())
            .map(|key: warp::path::Tail, state: Arc<StateService>| json_response(state.get(key.as_str())));
        let transaction = warp::post()
            .and(warp::path!("multi"))
            .and(warp::body::json())
            .and(with_state.clone())
            .then(|transaction: Transaction, state: Arc<StateService>| async move {
                json_response(state.apply_or_delay(&transaction).await)
            });
        let grant_lease = warp::post()
            .and(warp::path!("holds"))
            .and(warp::body::json())
            .and(with_state.clone())
            .map(|body: Value, state: Arc<StateService>| {
                json_response(state.grant_lease(body["life_ms"].as_u64().unwrap_or(0)))
            });
        let renew_lease = warp::post()
            .and(warp::path!("holds" / u64 / "touch"))
            .and(with_state.clone())
            .map(|id, state: Arc<StateService>| json_response(state.renew_lease(id)));
        let end_lease = warp::delete()
            .and(warp::path!("holds" / u64))
            .and(with_state.clone())
            .map(|id, state: Arc<StateService>| json_response(state.end_lease(id)));
        let watch = warp::get()
            .and(warp::path!("watch"))
            .and(query)
            .and(with_state)
            .then(
                |query: HashMap<String, String>, state: Arc<StateService>| async move {
                    json_response(state.watch(&query).await)
                },
            );
        let routes = list
            .or(get)
            .or(transaction)
            .or(grant_lease)
            .or(renew_lease)
            .or(end_lease)
            .or(watch);
        let refusal =
            |_| async { Ok::<_, warp::Rejection>(json_response((503, json!({"error": "trouble"})))) };
        serve(check_refused.and(routes).recover(refusal)).await
    }
}
