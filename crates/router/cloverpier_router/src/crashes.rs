//! What requests did to upstreams: learns it, judges it, and stops what ends them.
//!
//! Owns no state: [`crate::crash_state`] does. What an end says and what follows is decided
//! in `cloverpier_crashes`; [`crate::crash_reports`] notifies peers. Relies on [`crate::probe`] to
//! find out that an upstream has ended or lives.

use crate::crash_reports;
use crate::decision_log::{
    ContentCleared, ContentStopped, CrashDismissed, CrashRecorded, RequestHeld, ms, ms_since,
};
use crate::probe::probe;
use crate::relay_request::RelayRequest;
use crate::router::Router;
use cloverpier_core::UpstreamName;
use cloverpier_crashes::book::UNKNOWN_START;
use cloverpier_crashes::prelude::*;
use cloverpier_router_policy::crash_reports::is_told;
use cloverpier_router_policy::prelude::*;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

/// Puts new settings in force.
pub(crate) fn on_settings(router: &Router) {
    let settings = router.settings();
    let mut cases = router.crashes.cases.borrow_mut();
    let cleared = settings.crashes.cleared.clone();
    cases.book.set_bounds(settings.crashes.limit, cleared);
    drop(cases);
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
    let crashes = &router.crashes;
    if crashes.cases.borrow().is_empty() {
        return Admission::Beside;
    }
    let content = request.content();
    let since = router.now();
    let mut is_held = false;
    while let Some(until) = held_until(router, request, since) {
        is_held = true;
        tokio::select! {
            () = crashes.changed.notified() => {}
            () = router.timers.sleep_until(until) => {}
        }
    }
    let now = router.now();
    let neighbours = |end: &EndedUpstream| neighbours(router, end);
    let admission = crashes.cases.borrow().admission(content, now, neighbours);
    if is_held {
        log_hold(
            router,
            request,
            admission,
            now.saturating_duration_since(since),
        );
    }
    admission
}

/// Until when a request that has waited since a moment goes on waiting for a judgement; `None` where it
/// does not.
fn held_until(router: &Router, request: &RelayRequest, since: Instant) -> Option<Instant> {
    let now = router.now();
    let cases = router.crashes.cases.borrow();
    let hold = cases.hold(request.content(), now, |end| neighbours(router, end));
    hold.until(since, request.deadline, now)
}

/// Records an attempt that was lost at an upstream, to be judged once it is known whether the upstream
/// ended. One at an upstream that was about to leave says nothing: it ends by itself. An entry that
/// vanished while the attempt was under way is no departure: those of upstreams that end vanish, too.
pub(crate) fn on_lost(
    router: &Router,
    request: &RelayRequest,
    upstream: &Upstream,
    loss: Loss,
    ran_for: Duration,
) {
    let now = router.now();
    let table = router.upstreams.borrow();
    let state = table.get(&upstream.name);
    // A moment before this machine's clock began is as good as its beginning.
    let begun = now.checked_sub(ran_for).unwrap_or(now);
    let was_leaving = state.is_some_and(|s| s.is_leaving() || s.had_lost_its_entry(begun));
    drop(table);
    if was_leaving {
        return;
    }
    let attempt = BrokenAttempt {
        content: request.content(),
        loss,
        ran_well: false,
        end: end_of(upstream),
        upstream: ended_upstream(upstream, now),
        ran_for,
    };
    let content = request.repeated_part();
    router
        .crashes
        .change(|cases| cases.on_broken(&content, attempt));
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
    let ended = ended_upstream(upstream, now);
    router.crashes.change(|cases| cases.on_end(ended));
}

/// Records that an upstream is dead as far as a peer knows, or by its silence since a moment.
pub(crate) fn on_death(router: &Router, upstream: &Upstream, silent_since: Instant, now: Instant) {
    let died = ended_upstream(upstream, now);
    let change = |cases: &mut CrashCases| cases.on_death(died, silent_since);
    router.crashes.change(change);
}

/// Records that an upstream has ended some time ago, as another start answers in its place.
pub(crate) fn on_former_start(router: &Router, upstream: &Upstream) {
    let former = ended_upstream(upstream, router.now());
    router.crashes.change(|cases| cases.on_former_start(former));
}

/// Records that an upstream lives, which has answered a question that it was asked at a moment.
pub(crate) fn on_alive(router: &Router, upstream: &Upstream, asked: Instant) {
    let sign = SignOfLife {
        upstream: UpstreamKey::of(&upstream.name).0,
        asked,
        answered: router.now(),
    };
    router.crashes.change(|cases| cases.on_alive(sign));
}

/// Records that an upstream has answered a request that was sent at a moment.
pub(crate) fn on_answer(router: &Router, upstream: &Upstream, sent: Instant) {
    let key = UpstreamKey::of(&upstream.name);
    if router.crashes.cases.borrow().has_open_at(key.0) {
        on_alive(router, upstream, sent);
    }
}

/// Records that an upstream ran a request to its end.
pub(crate) fn on_completed(router: &Router, request: &RelayRequest) {
    let now = router.now();
    let mut cases = router.crashes.cases.borrow_mut();
    let acquitted = cases.on_completed(&request.repeated_part(), now);
    drop(cases);
    if let Some(content) = acquitted {
        crash_reports::send_to_all(router, &[content], now);
        apply_verdicts(router, "it ran to its end", now);
    }
}

/// Judges attempts that broke off, until the process ends.
pub(crate) async fn judge_broken(router: Rc<Router>) {
    loop {
        let next_due = router.crashes.cases.borrow().next_due(router.now());
        let changed = router.crashes.changed.notified();
        match next_due {
            Some(at) => tokio::select! {
                () = changed => {}
                () = router.timers.sleep_until(at) => {}
            },
            None => changed.await,
        }
        let now = router.now();
        clear_up(&router, now);
        judge_due(&router, now);
        log_dismissed(&router, now);
    }
}

/// Probes the upstreams that are unclear.
fn clear_up(router: &Rc<Router>, now: Instant) {
    let unclear = router.crashes.cases.borrow_mut().unclear(now);
    for broken in unclear {
        let table = router.upstreams.borrow();
        let state = table.by_key(UpstreamKey(broken.upstream));
        // Of one that is forgotten by now nothing can be learned.
        let Some(upstream) = state.map(|s| s.upstream.clone()) else {
            continue;
        };
        drop(table);
        let health = router.health.of(&upstream, now);
        probe(router, &upstream, &health, now);
    }
}

fn judge_due(router: &Router, now: Instant) {
    let mut cases = router.crashes.cases.borrow_mut();
    let judged = cases.judge(now, |end| neighbours(router, end));
    drop(cases);
    if judged.is_empty() {
        return;
    }
    for judged in &judged {
        log_crash(router, judged, now);
    }
    let told = judged.iter().filter(|j| is_told(&j.surroundings, j.ends));
    let told: Vec<ContentKey> = told.map(|judged| judged.attempt.content).collect();
    crash_reports::send_to_all(router, &told, now);
    apply_verdicts(router, "this router", now);
    router.crashes.changed.notify_waiters();
}

/// The upstreams that are listed beside one that ended.
fn neighbours(router: &Router, end: &EndedUpstream) -> Neighbours {
    let table = router.upstreams.borrow();
    let of_service = table.of_service(&end.service).filter(|s| s.is_listed());
    let others = of_service.filter(|s| s.key.0 != end.upstream);
    let mut neighbours = Neighbours::default();
    for other in others {
        neighbours.in_service += 1;
        neighbours.in_data_centre += u32::from(other.upstream.data_centre == end.data_centre);
    }
    neighbours
}

fn log_crash(router: &Router, judged: &Judged, now: Instant) {
    let attempt = &judged.attempt;
    let ended_beside = match &judged.surroundings.ended {
        EndedBeside::Few(ended) => Some(ended.len()),
        EndedBeside::Many => None,
    };
    let line = CrashRecorded {
        content: attempt.content.to_string(),
        upstream: upstream_name(router, attempt.end.upstream),
        start_ms: attempt.end.start,
        ended_beside,
        ran_well: attempt.ran_well,
        ends: judged.ends,
        evidence: judged.evidence,
        age_ms: ms_since(attempt.upstream.at, now),
    };
    router.metrics.crashes.count("seen");
    router.log.info("crash.recorded", &line);
}

fn log_hold(router: &Router, request: &RelayRequest, admission: Admission, held: Duration) {
    let content = request.content();
    let now = router.now();
    let line = RequestHeld {
        request: &request.id,
        content: content.to_string(),
        ends: router.crashes.cases.borrow().book.crashes(content, now),
        held_ms: ms(held),
        admission,
    };
    router.metrics.crashes.count("held");
    router.log.info("request.held", &line);
}

fn log_dismissed(router: &Router, now: Instant) {
    let dismissed = router.crashes.cases.borrow_mut().take_dismissed();
    if !dismissed.is_empty() {
        // Requests may wait for what is now known not to count.
        router.crashes.changed.notify_waiters();
    }
    for Dismissed { attempt, reason } in dismissed {
        let line = CrashDismissed {
            content: attempt.content.to_string(),
            upstream: upstream_name(router, attempt.end.upstream),
            start_ms: attempt.end.start,
            reason,
            age_ms: ms_since(attempt.upstream.at, now),
        };
        router.metrics.crashes.count(dismissal_name(reason));
        router.log.info("crash.dismissed", &line);
    }
}

/// The name of a dismissal, for metrics.
fn dismissal_name(reason: Dismissal) -> &'static str {
    match reason {
        Dismissal::Answered => "dismissed-answered",
        Dismissal::Unclear => "dismissed-unclear",
        Dismissal::NoRoom => "dismissed-no-room",
    }
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
    let changed = router.crashes.cases.borrow_mut().book.changed_stops(now);
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
    let stopped = router.crashes.cases.borrow().book.stopped(now).len();
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
    let reports = router.crashes.cases.borrow().book.reports(&[content], now);
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
