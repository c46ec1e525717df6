//! What requests did to upstreams: learns it, judges it, and stops what ends them.
//!
//! Owns this router's book of contents, the attempts that broke off and are not judged yet, the
//! upstreams that ended of late, and the requests under way. What an end says and what follows is
//! decided in `cloverpier_crashes`; [`crate::crash_news`] tells peers. Relies on [`crate::probe`] for
//! the news that an upstream has ended or lives.

use crate::crash_news;
use crate::decision_log::{ContentCleared, ContentStopped, CrashRecorded, ms_since};
use crate::intake::RelayRequest;
use crate::probe::probe;
use crate::router::Router;
use cloverpier_core::UpstreamName;
use cloverpier_crashes::book::{SUSPECT_FROM, UNKNOWN_START};
use cloverpier_crashes::prelude::*;
use cloverpier_router_policy::crash_news::is_told;
use cloverpier_router_policy::prelude::*;
use cloverpier_settings::CrashSettings;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// A request that may be about to end one upstream too many waits for the judgement of its last
/// attempt for so long at most: twice the time to the judgement, as the probe before it takes a round
/// trip. Chosen, not measured.
const MAX_HOLD: Duration = Duration::from_millis(250);

/// What this router knows of requests that end upstreams.
#[derive(Debug)]
pub(crate) struct Crashes {
    pub book: RefCell<CrashBook>,
    broken: RefCell<BrokenAttempts>,
    ended: RefCell<EndedUpstreams>,
    recent: RefCell<RecentContents>,
    /// Requests under way, and some that have ended.
    in_flight: RefCell<Vec<Weak<RelayRequest>>>,
    /// When something about a content was learned last that peers should know.
    pub last_news: Cell<Option<Instant>>,
    /// Wakes the loop that judges, and requests that wait for a judgement.
    changed: Notify,
}

impl Crashes {
    /// Knows of no end yet.
    pub fn new(settings: &CrashSettings) -> Self {
        let mut book = CrashBook::new(settings.limit);
        book.set_bounds(settings.limit, settings.cleared.clone());
        Self {
            book: RefCell::new(book),
            broken: RefCell::default(),
            ended: RefCell::default(),
            recent: RefCell::default(),
            in_flight: RefCell::default(),
            last_news: Cell::default(),
            changed: Notify::new(),
        }
    }

    /// Whether any content may have done harm, so that requests have to be told apart.
    fn has_cases(&self) -> bool {
        !self.book.borrow().is_empty() || self.broken.borrow().next_due().is_some()
    }
}

/// How a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Like any other.
    Beside,
    /// Where it meets the fewest others: it may be what ended two upstreams.
    Apart,
    /// Not at all.
    Stopped,
}

/// Puts new settings in force.
pub(crate) fn on_settings(router: &Router) {
    let settings = router.settings();
    let mut book = router.crashes.book.borrow_mut();
    book.set_bounds(settings.crashes.limit, settings.crashes.cleared.clone());
    drop(book);
    apply_verdicts(router, "settings", router.now());
}

/// Has a request called back if its content is stopped while it is under way.
pub(crate) fn track(router: &Router, request: &Rc<RelayRequest>) {
    let mut in_flight = router.crashes.in_flight.borrow_mut();
    // Cleared only when the list would have to grow: in constant time a request on average.
    if in_flight.len() == in_flight.capacity() {
        in_flight.retain(|request| request.strong_count() > 0);
    }
    in_flight.push(Rc::downgrade(request));
}

/// Decides whether a request may be sent to an upstream now. Where its next attempt may be one too
/// many, it waits until the last one is judged.
pub(crate) async fn admit(router: &Router, request: &RelayRequest) -> Admission {
    if !router.crashes.has_cases() {
        return Admission::Beside;
    }
    let until = router.now() + MAX_HOLD;
    while awaits_judgement(router, request) && router.now() < until {
        tokio::select! {
            () = router.crashes.changed.notified() => {}
            () = tokio::time::sleep_until(until.into()) => {}
        }
    }
    admission(router, request, router.now())
}

fn awaits_judgement(router: &Router, request: &RelayRequest) -> bool {
    let content = request.content();
    let CrashLimit(limit) = router.settings().crashes.limit;
    let open = router.crashes.broken.borrow().open_with(content);
    let known = router.crashes.book.borrow().crashes(content, router.now());
    limit > 0 && open > 0 && open + known >= limit as usize
}

fn admission(router: &Router, request: &RelayRequest, now: Instant) -> Admission {
    let content = request.content();
    let book = router.crashes.book.borrow();
    let open = router.crashes.broken.borrow().open_with(content);
    // Fewer than 2^32 are open.
    let open = open as u32 * Weight::FULL.thousandths();
    let against = book.evidence(content, now) + open;
    match book.verdict(content, now) {
        Verdict::Stopped => Admission::Stopped,
        _ if against >= SUSPECT_FROM * Weight::FULL.thousandths() => Admission::Apart,
        _ => Admission::Beside,
    }
}

/// Records an attempt whose connection broke, to be judged once it is known whether the upstream
/// ended. One at an upstream that was about to leave says nothing: it ends by itself.
pub(crate) fn on_broken(
    router: &Router,
    request: &RelayRequest,
    upstream: &Upstream,
    begun: Instant,
    now: Instant,
) {
    let table = router.upstreams.borrow();
    let state = table.get(&upstream.name);
    let is_leaving = state.is_none_or(|s| s.upstream.draining || s.has_lost_its_entry());
    drop(table);
    if is_leaving {
        return;
    }
    let end = end_of(upstream);
    let ended = router.crashes.ended.borrow();
    let has_ended = ended.has_ended_since(end.upstream, Some(begun));
    let recent = router.crashes.recent.borrow();
    let attempt = BrokenAttempt {
        content: request.content(),
        ran_well: recent.ran_well(&request.repeated_part(), now),
        end,
        upstream: ended_upstream(upstream, now),
        ran_for: now.saturating_duration_since(begun),
    };
    let mut broken = router.crashes.broken.borrow_mut();
    broken.on_broken(attempt, has_ended);
    drop(broken);
    router.crashes.changed.notify_waiters();
}

fn end_of(upstream: &Upstream) -> UpstreamEnd {
    UpstreamEnd {
        upstream: UpstreamKey::of(&upstream.name).0,
        // Where an upstream does not say when it started, each start has a name of its own.
        start: upstream.born_ms().unwrap_or(UNKNOWN_START),
    }
}

fn ended_upstream(upstream: &Upstream, at: Instant) -> EndedUpstream {
    EndedUpstream {
        upstream: UpstreamKey::of(&upstream.name).0,
        service: upstream.service.clone(),
        data_centre: upstream.data_centre.clone(),
        at,
    }
}

/// Records that an upstream's host has no process at its address any more.
pub(crate) fn on_end(router: &Router, upstream: &Upstream, now: Instant) {
    let mut ended = router.crashes.ended.borrow_mut();
    ended.on_end(ended_upstream(upstream, now));
    drop(ended);
    on_former_start(router, upstream);
}

/// Records that an upstream is dead as far as a peer knows, or by its silence: that explains ends
/// beside it.
pub(crate) fn on_death(router: &Router, upstream: &Upstream, now: Instant) {
    let mut ended = router.crashes.ended.borrow_mut();
    ended.on_death(ended_upstream(upstream, now));
}

/// Records that an upstream has ended some time ago, as another start answers in its place.
pub(crate) fn on_former_start(router: &Router, upstream: &Upstream) {
    let key = UpstreamKey::of(&upstream.name);
    router.crashes.broken.borrow_mut().on_end(key.0);
    router.crashes.changed.notify_waiters();
}

/// Records that an upstream lives, which answered a probe.
pub(crate) fn on_alive(router: &Router, upstream: &Upstream) {
    let key = UpstreamKey::of(&upstream.name);
    router.crashes.broken.borrow_mut().on_alive(key.0);
    router.crashes.changed.notify_waiters();
}

/// Records that an upstream ran a request to its end: what ended while others ran its content did not
/// end by it.
pub(crate) fn on_completed(router: &Router, request: &RelayRequest) {
    let now = router.now();
    let mut recent = router.crashes.recent.borrow_mut();
    recent.on_completed(&request.repeated_part(), now);
    drop(recent);
    if router.crashes.book.borrow().is_empty() {
        return;
    }
    let content = request.content();
    if !router.crashes.book.borrow_mut().on_completed(content) {
        return;
    }
    crash_news::tell_all(router, &[content], now);
    apply_verdicts(router, "it ran to its end", now);
}

/// Judges attempts that broke off, until the process ends.
pub(crate) async fn judge_broken(router: Rc<Router>) {
    loop {
        let next_due = router.crashes.broken.borrow().next_due();
        let changed = router.crashes.changed.notified();
        match next_due {
            Some(at) => tokio::select! {
                () = changed => {}
                () = tokio::time::sleep_until(at.into()) => {}
            },
            None => changed.await,
        }
        let now = router.now();
        clear_up(&router, now);
        judge_due(&router, now);
    }
}

/// Finds out about upstreams that are unclear: what they said since shows that they live, or else a
/// probe does.
fn clear_up(router: &Rc<Router>, now: Instant) {
    let unclear = router.crashes.broken.borrow_mut().unclear(now);
    for broken in unclear {
        let table = router.upstreams.borrow();
        let state = table.by_key(UpstreamKey(broken.upstream));
        // Of one that is forgotten by now nothing can be learned.
        let Some(upstream) = state.map(|s| s.upstream.clone()) else {
            continue;
        };
        drop(table);
        let health = router.health.of(&upstream, now);
        let last_answer = health.last_own_answer.get();
        if last_answer.is_some_and(|at| at > broken.at) {
            on_alive(router, &upstream);
        } else {
            probe(router, &upstream, &health, now);
        }
    }
}

fn judge_due(router: &Router, now: Instant) {
    let due = router.crashes.broken.borrow_mut().due(now);
    if due.is_empty() {
        return;
    }
    let mut told = Vec::new();
    for attempt in due {
        let surroundings = surroundings(router, &attempt.upstream);
        record(router, &attempt, surroundings.clone(), now);
        let ends = router.crashes.book.borrow().crashes(attempt.content, now);
        if is_told(&surroundings, ends) {
            told.push(attempt.content);
        }
    }
    crash_news::tell_all(router, &told, now);
    apply_verdicts(router, "this router", now);
    router.crashes.changed.notify_waiters();
}

/// What was around an upstream that ended, as far as this router knows.
fn surroundings(router: &Router, end: &EndedUpstream) -> Surroundings {
    let table = router.upstreams.borrow();
    let of_service = table.of_service(&end.service).filter(|s| s.is_listed());
    let others = of_service.filter(|s| s.key.0 != end.upstream);
    let (mut in_service, mut in_data_centre) = (0, 0);
    for other in others {
        in_service += 1;
        in_data_centre += u32::from(other.upstream.data_centre == end.data_centre);
    }
    Surroundings {
        in_service,
        in_data_centre,
        ended: router.crashes.ended.borrow().beside(end),
    }
}

fn record(router: &Router, attempt: &BrokenAttempt, surroundings: Surroundings, now: Instant) {
    let BrokenAttempt {
        content,
        ran_well,
        end,
        upstream,
        ran_for,
    } = attempt;
    let ended_beside = match &surroundings.ended {
        EndedBeside::Few(ended) => Some(ended.len()),
        EndedBeside::Many => None,
    };
    let crash = Crash {
        end: *end,
        at: upstream.at,
        ran_for: *ran_for,
        surroundings,
        excused: *ran_well,
    };
    let mut book = router.crashes.book.borrow_mut();
    book.record(*content, crash, now);
    let line = CrashRecorded {
        content: content.to_string(),
        upstream: upstream_name(router, end.upstream),
        start_ms: end.start,
        ended_beside,
        ran_well: *ran_well,
        ends: book.crashes(*content, now),
        evidence: book.evidence(*content, now),
        age_ms: ms_since(upstream.at, now),
    };
    drop(book);
    router.metrics.crashes.count("seen");
    router.log.info("crash.recorded", &line);
}

/// An upstream's name, or its hash where it is forgotten.
fn upstream_name(router: &Router, key: u64) -> String {
    let table = router.upstreams.borrow();
    let state = table.by_key(UpstreamKey(key));
    let name = state.map(|s| &s.upstream.name).map(UpstreamName::to_string);
    name.unwrap_or_else(|| format!("{key:016x}"))
}

/// Calls back requests whose content has come to be stopped, and logs what has changed.
pub(crate) fn apply_verdicts(router: &Router, from: &str, now: Instant) {
    let changed = router.crashes.book.borrow_mut().changed_stops(now);
    for content in &changed.stopped {
        log_stop(router, *content, from, now);
        call_back(router, *content);
    }
    for content in &changed.lifted {
        router.metrics.crashes.count("cleared");
        let line = ContentCleared {
            content: content.to_string(),
            from,
        };
        router.log.info("content.cleared", &line);
    }
    let stopped = router.crashes.book.borrow().stopped(now).len();
    let stopped = i64::try_from(stopped).unwrap_or(i64::MAX);
    router.metrics.stopped_contents.set(stopped);
}

fn call_back(router: &Router, content: ContentKey) {
    let in_flight = router.crashes.in_flight.borrow();
    let requests = in_flight.iter().filter_map(Weak::upgrade);
    for request in requests.filter(|request| request.content() == content) {
        request.stop.set();
    }
}

fn log_stop(router: &Router, content: ContentKey, from: &str, now: Instant) {
    router.metrics.crashes.count("stopped");
    let reports = router.crashes.book.borrow().reports(&[content], now);
    let ends = reports.iter().flat_map(|report| &report.crashes);
    let ends = ends.filter(|end| !end.excused).map(|end| {
        let upstream = upstream_name(router, end.end.upstream);
        format!("{upstream}, {} ms ago", end.age_ms)
    });
    let line = ContentStopped {
        content: content.to_string(),
        ends: ends.collect(),
        from,
    };
    router.log.info("content.stopped", &line);
}
