//! A state service in memory, with the troubles that tests ask for.

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

use super::{answer, serve};
use data::Data;

/// A state service in memory.
#[derive(Default)]
pub struct State(Mutex<Data>);

impl State {
    /// Starts it for one controller; the address that this one is given.
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
            .map(|q: HashMap<String, String>, s: Arc<State>| answer(s.list(&q)));
        let get = warp::get()
            .and(warp::path("kv"))
            .and(warp::path::tail())
            .and(with.clone())
            .map(|t: warp::path::Tail, s: Arc<State>| answer(s.get(t.as_str())));
        let multi = warp::post()
            .and(warp::path!("multi"))
            .and(warp::body::json())
            .and(with.clone())
            .then(|t: Transaction, s: Arc<State>| async move { answer(s.multi_or_late(&t).await) });
        let hold = warp::post()
            .and(warp::path!("holds"))
            .and(warp::body::json())
            .and(with.clone())
            .map(|b: Value, s: Arc<State>| answer(s.hold(b["life_ms"].as_u64().unwrap_or(0))));
        let touch = warp::post()
            .and(warp::path!("holds" / u64 / "touch"))
            .and(with.clone())
            .map(|id, s: Arc<State>| answer(s.touch(id)));
        let end = warp::delete()
            .and(warp::path!("holds" / u64))
            .and(with.clone())
            .map(|id, s: Arc<State>| answer(s.end(id)));
        let watch = warp::get()
            .and(warp::path!("watch"))
            .and(query)
            .and(with)
            .then(|q: HashMap<String, String>, s: Arc<State>| async move { answer(s.watch(&q).await) });
        let routes = list.or(get).or(multi).or(hold).or(touch).or(end).or(watch);
        let refusal = |_| async { Ok::<_, warp::Rejection>(answer((503, json!({"error": "trouble"})))) };
        serve(gate.and(routes).recover(refusal)).await
    }
}
