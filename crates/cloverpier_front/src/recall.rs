//! Finds the engine that has read a prompt, where this front doesn't know it.
//!
//! A front that has just started knows nothing of the streams that callers come
//! back for. Engines tell which prompts they have cached of late, so the first
//! such caller makes the front ask all engines of the service, once.

use crate::decision_log::{PromptsSearched, ms_since};
use crate::front::Front;
use cloverpier_core::{ServiceName, hash_of};
use cloverpier_relay::prelude::*;
use futures_util::StreamExt;
use futures_util::stream::iter;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::timeout;

/// How long a request waits for a search.
const SEARCH_PATIENCE: Duration = Duration::from_millis(250);
/// How long one engine's answer is waited for.
const ANSWER_PATIENCE: Duration = Duration::from_millis(500);
/// Engines are asked again only after this time.
const SEARCH_AGAIN: Duration = Duration::from_secs(10);
/// Engines asked at the same time.
const ASKED_AT_ONCE: usize = 32;

/// One search for the prompts that a service's engines hold.
#[derive(Debug)]
struct Search {
    begun: Instant,
    ended: Cell<bool>,
    /// Wakes those who wait when an engine has answered, and at the end.
    news: Notify,
}

/// The latest search of each service.
#[derive(Debug, Default)]
pub(crate) struct Searches {
    by_service: RefCell<HashMap<ServiceName, Rc<Search>>>,
}

/// Asks engines for a prompt that a request goes on with, unless it is known where it is.
pub(crate) async fn find_prompt(front: &Rc<Front>, service: &ServiceName, prompt: PromptKey) {
    if is_known(front, prompt) {
        return;
    }
    let search = search_of(front, service, Instant::now());
    // Without an answer in time, the request goes on without it.
    let _ = timeout(SEARCH_PATIENCE, found_or_ended(front, &search, prompt)).await;
}

fn is_known(front: &Front, prompt: PromptKey) -> bool {
    let places = front.places.borrow();
    places.engine_of(prompt, Instant::now()).is_some()
}

async fn found_or_ended(front: &Front, search: &Search, prompt: PromptKey) {
    loop {
        let news = search.news.notified();
        if search.ended.get() || is_known(front, prompt) {
            return;
        }
        news.await;
    }
}

/// The latest search, or a new one if that is long ago.
fn search_of(front: &Rc<Front>, service: &ServiceName, now: Instant) -> Rc<Search> {
    let mut searches = front.searches.by_service.borrow_mut();
    let latest = searches.get(service);
    let latest = latest.filter(|s| now.saturating_duration_since(s.begun) < SEARCH_AGAIN);
    if let Some(latest) = latest {
        return Rc::clone(latest);
    }
    let search = Rc::new(Search {
        begun: now,
        ended: Cell::new(false),
        news: Notify::new(),
    });
    searches.insert(service.clone(), Rc::clone(&search));
    tokio::task::spawn_local(run(Rc::clone(front), service.clone(), Rc::clone(&search)));
    search
}

async fn run(front: Rc<Front>, service: ServiceName, search: Rc<Search>) {
    let engines = usable_engines(&front, &service);
    let asked = engines.len();
    let mut answered = 0;
    let mut prompts = 0;
    let mut answers = iter(engines)
        .map(|engine| ask(&front, engine))
        .buffer_unordered(ASKED_AT_ONCE);
    while let Some(held) = answers.next().await {
        if let Some(held) = held {
            answered += 1;
            prompts += held;
            search.news.notify_waiters();
        }
    }
    search.ended.set(true);
    search.news.notify_waiters();
    front.log.info(
        "prompts.searched",
        &PromptsSearched {
            service: service.as_str(),
            asked,
            answered,
            prompts,
            took_ms: ms_since(search.begun, Instant::now()),
        },
    );
}

fn usable_engines(front: &Front, service: &ServiceName) -> Vec<Server> {
    let fleet = front.fleet.borrow();
    let usable = fleet.of_service(service).filter(|s| s.is_usable());
    usable.map(|s| s.server.clone()).collect()
}

/// Asks one engine, notes what it holds, and returns how many prompts that are.
async fn ask(front: &Rc<Front>, engine: Server) -> Option<usize> {
    let link = front.links.of(&engine, Instant::now());
    let path = front.dialect.paths.engine_cache;
    let answer = link.caller.get(path, ANSWER_PATIENCE).await;
    let answer = answer.ok().filter(|a| a.status.is_success());
    let Some(answer) = answer else {
        front.metrics.probes.count("cache-silent");
        return None;
    };
    front.metrics.probes.count("cache");
    let now = Instant::now();
    link.on_heard(now);
    let parts = (front.dialect.cached_parts)(&answer.body);
    let key = ServerKey::of(&engine.name);
    let mut places = front.places.borrow_mut();
    for part in &parts {
        places.on_found(PromptKey(hash_of(part.as_str())), key, now);
    }
    Some(parts.len())
}
