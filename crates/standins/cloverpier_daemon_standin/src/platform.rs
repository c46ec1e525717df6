//! The platform: objects with versions, conditional updates and watches.

use crate::web::{body, json, serve};
use cloverpier_core::lock;
use cloverpier_object_api::{ObjectBody, StoredObject, VersionBody};
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

/// The largest value of an object, in bytes.
const MAX_VALUE: usize = 1 << 20;

/// Faults of the platform.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call is answered with 503.
    pub down: bool,
    /// Every call is held for so long, in milliseconds.
    pub slow_ms: u64,
    /// So many updates take effect but are answered with a broken connection.
    pub lose_answers: u32,
}

/// Calls that the platform took.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Reads.
    pub reads: u64,
    /// Updates, those that lost a race included.
    pub writes: u64,
    /// Waiting watches.
    pub watches: u64,
    /// Updates that lost a race.
    pub conflicts: u64,
}

#[derive(Debug, Default)]
struct Inner {
    objects: BTreeMap<String, StoredObject>,
    faults: PlatformFaults,
    counts: PlatformCounts,
}

#[derive(Debug)]
struct State {
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
}

fn state(depot: &Depot) -> Arc<State> {
    let found = depot.get_typed::<Arc<State>>();
    Arc::clone(found.expect("the state is injected into every route"))
}

/// Serves the platform until the process ends.
pub async fn run(listen: SocketAddr) {
    let state = Arc::new(State {
        inner: Mutex::default(),
        changed: watch::Sender::new(0),
    });
    let objects = Router::with_path("objects/{**key}")
        .get(get_object)
        .put(put_object);
    let router = Router::new()
        .hoop(salvo::affix_state::inject(state))
        .push(Router::with_path("faults").post(set_faults))
        .push(Router::with_path("counts").get(get_counts))
        .push(
            Router::new()
                .hoop(misbehave)
                .push(objects)
                .push(Router::with_path("list/{**prefix}").get(list_objects)),
        );
    serve(listen, router).await;
}

#[handler]
async fn set_faults(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    if let Some(faults) = body::<PlatformFaults>(req, res).await {
        lock(&state(depot).inner).faults = faults;
    }
}

#[handler]
async fn get_counts(depot: &mut Depot, res: &mut Response) {
    let counts = lock(&state(depot).inner).counts.clone();
    json(res, StatusCode::OK, counts);
}

#[handler]
async fn misbehave(req: &mut Request, depot: &mut Depot, res: &mut Response, ctrl: &mut FlowCtrl) {
    let faults = lock(&state(depot).inner).faults.clone();
    if faults.slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    if faults.down {
        res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        ctrl.skip_rest();
        return;
    }
    ctrl.call_next(req, depot, res).await;
}

#[handler]
async fn get_object(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let state = state(depot);
    let key = req.param::<String>("key").unwrap_or_default();
    let after = req.query::<u64>("after").unwrap_or(0);
    let wait = Duration::from_millis(req.query::<u64>("wait_ms").unwrap_or(0));
    {
        let mut inner = lock(&state.inner);
        if wait.is_zero() {
            inner.counts.reads += 1;
        } else {
            inner.counts.watches += 1;
        }
    }
    let until = tokio::time::Instant::now() + wait;
    let mut changed = state.changed.subscribe();
    loop {
        let found = lock(&state.inner).objects.get(&key).cloned();
        let down = lock(&state.inner).faults.down;
        if down {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        match found {
            Some(object) if object.version > after => return json(res, StatusCode::OK, object),
            None if wait.is_zero() => {
                res.status_code(StatusCode::NOT_FOUND);
                return;
            }
            _ => {}
        }
        let woken = tokio::time::timeout_at(until, changed.changed()).await;
        if woken.is_err() {
            res.status_code(StatusCode::NOT_MODIFIED);
            return;
        }
    }
}

#[handler]
async fn put_object(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let state = state(depot);
    let key = req.param::<String>("key").unwrap_or_default();
    let Some(update) = body::<ObjectBody>(req, res).await else {
        return;
    };
    if update.value.to_string().len() > MAX_VALUE {
        res.status_code(StatusCode::PAYLOAD_TOO_LARGE);
        return;
    }
    let mut inner = lock(&state.inner);
    inner.counts.writes += 1;
    let stands = inner.objects.get(&key).map_or(0, |o| o.version);
    if stands != update.if_version {
        inner.counts.conflicts += 1;
        return json(res, StatusCode::CONFLICT, VersionBody { version: stands });
    }
    let version = stands + 1;
    let value = update.value;
    inner.objects.insert(key, StoredObject { version, value });
    state.changed.send_modify(|n| *n += 1);
    if inner.faults.lose_answers > 0 {
        inner.faults.lose_answers -= 1;
        return break_answer(res);
    }
    json(res, StatusCode::OK, VersionBody { version });
}

/// Breaks the connection within the answer.
pub(crate) fn break_answer(res: &mut Response) {
    let broken = std::io::Error::other("the answer is lost");
    res.status_code(StatusCode::OK);
    res.stream(futures_util::stream::iter([Err::<bytes::Bytes, _>(broken)]));
}

/// An object in a listing.
#[derive(Serialize)]
struct ListedObject {
    key: String,
    #[serde(flatten)]
    object: StoredObject,
}

/// Lists objects, for tests and people: no router asks for it.
#[handler]
async fn list_objects(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let prefix = req.param::<String>("prefix").unwrap_or_default();
    let state = state(depot);
    let mut inner = lock(&state.inner);
    inner.counts.reads += 1;
    let below = inner.objects.iter().filter(|(k, _)| k.starts_with(&prefix));
    let listed: Vec<ListedObject> = below
        .map(|(key, object)| ListedObject {
            key: key.clone(),
            object: object.clone(),
        })
        .collect();
    json(res, StatusCode::OK, listed);
}
