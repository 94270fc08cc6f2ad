//! A state service in memory, with faults that tests inject.

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
use warp::Filter;

use super::{json_response, serve};
use data::Data;
pub use data::{LateOutcomes, LateWrites};

/// A state service in memory.
#[derive(Default)]
pub struct State(Mutex<Data>);

impl State {
    /// Starts an endpoint for one controller; its address.
    pub async fn start(self: &Arc<Self>, who: usize) -> SocketAddr {
        let s = self.clone();
        let gate = warp::any()
            .and_then(move || {
                let refused = s.0.lock().refused.contains(&who);
                async move {
                    if refused {
                        Err(warp::reject::reject())
                    } else {
                        Ok(())
                    }
                }
            })
            .untuple_one();
        let s = self.clone();
        let with = warp::any().map(move || s.clone());
        let query = warp::query::<HashMap<String, String>>();
        let list = warp::get()
            .and(warp::path!("kv"))
            .and(query)
            .and(with.clone())
            .map(|q: HashMap<String, String>, s: Arc<State>| json_response(s.list(&q)));
        let get = warp::get()
            .and(warp::path("kv"))
            .and(warp::path::tail())
            .and(with.clone())
            .map(|t: warp::path::Tail, s: Arc<State>| json_response(s.get(t.as_str())));
        let multi = warp::post()
            .and(warp::path!("multi"))
            .and(warp::body::json())
            .and(with.clone())
            .then(|t: Transaction, s: Arc<State>| async move { json_response(s.multi_or_late(&t).await) });
        let grant_lease = warp::post()
            .and(warp::path!("holds"))
            .and(warp::body::json())
            .and(with.clone())
            .map(|b: Value, s: Arc<State>| json_response(s.grant_lease(b["life_ms"].as_u64().unwrap_or(0))));
        let renew_lease = warp::post()
            .and(warp::path!("holds" / u64 / "touch"))
            .and(with.clone())
            .map(|id, s: Arc<State>| json_response(s.renew_lease(id)));
        let end_lease = warp::delete()
            .and(warp::path!("holds" / u64))
            .and(with.clone())
            .map(|id, s: Arc<State>| json_response(s.end_lease(id)));
        let watch = warp::get().and(warp::path!("watch")).and(query).and(with).then(
            |q: HashMap<String, String>, s: Arc<State>| async move { json_response(s.watch(&q).await) },
        );
        let routes = list
            .or(get)
            .or(multi)
            .or(grant_lease)
            .or(renew_lease)
            .or(end_lease)
            .or(watch);
        let refusal =
            |_| async { Ok::<_, warp::Rejection>(json_response((503, json!({"error": "trouble"})))) };
        serve(gate.and(routes).recover(refusal)).await
    }
}
