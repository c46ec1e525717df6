//! What requests did to upstreams: learns it, judges it, shares it, and stops what ends them.
//!
//! Owns this router's cases. What an end says and what follows is decided in `cloverpier_crashes`, as
//! for the router on the platform; [`crate::members`] carries what is known to peers. Upstreams do not
//! say when they started, so an end is distinguished from the next one of the same upstream by its time.

use crate::app::App;
use crate::error::{ApiError, Run};
use cloverpier_config::{ServiceKind, Upstream};
use cloverpier_core::{UpstreamName, hash_of, lock, wall_ms};
use cloverpier_crashes::broken_attempts::CONFIRM_WITHIN;
use cloverpier_crashes::prelude::*;
use cloverpier_settings::CrashSettings;
use cloverpier_timers::Timers;
use salvo::http::StatusCode;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// How long a probe waits for the host of an upstream whose connection broke. One without the
/// process refuses within a round trip.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// What has to be known against a content for it to be reported to peers, in thousandths of an end that
/// nothing else explains.
const MIN_TOLD: u32 = 250;

/// What this router knows of requests that end upstreams.
#[derive(Debug)]
pub struct Crashes {
    cases: Mutex<CrashCases>,
    /// Wakes the loop that judges, and requests that wait for a judgement or a call back.
    changed: Notify,
}

impl Crashes {
    /// Knows of no end yet.
    pub fn new(settings: &CrashSettings) -> Self {
        let mut cases = CrashCases::new(settings.limit);
        let cleared = settings.cleared.clone();
        cases.book.set_bounds(settings.limit, cleared);
        Self {
            cases: Mutex::new(cases),
            changed: Notify::new(),
        }
    }

    /// Changes the cases and wakes whoever waits for a judgement.
    fn change(&self, change: impl FnOnce(&mut CrashCases)) {
        change(&mut lock(&self.cases));
        self.changed.notify_waiters();
    }
}

/// An upstream ended while it ran a content, as this router saw.
#[derive(Serialize)]
struct CrashRecorded<'a> {
    content: String,
    upstream: &'a UpstreamName,
    ran_well: bool,
    ends: usize,
    evidence: u32,
}

/// An attempt was lost at an upstream, and no end is counted for it.
#[derive(Serialize)]
struct CrashDismissed<'a> {
    content: String,
    upstream: &'a UpstreamName,
    reason: Dismissal,
}

/// The verdict on a content has changed.
#[derive(Serialize)]
struct VerdictChanged<'a> {
    content: String,
    ends: usize,
    from: &'a str,
}

/// Starts the part.
pub fn start(app: &Arc<App>) {
    tokio::spawn(judge_broken(Arc::clone(app)));
}

/// The error of a request whose content ends upstreams.
pub fn stopped(run: Run) -> ApiError {
    let message = "upstreams ended while they ran this request; it is sent to no other one";
    let status = StatusCode::UNPROCESSABLE_ENTITY;
    ApiError::not_run(status, "crashes_upstreams", message).with_run(run)
}

/// Decides whether a request may be sent to an upstream now. Where its next attempt may be one too
/// many, it waits until the last ones are judged.
pub async fn admit(app: &App, content: ContentKey) -> Admission {
    let since = app.now();
    loop {
        let mut changed = pin!(app.crashes.changed.notified());
        changed.as_mut().enable();
        let now = app.now();
        match look(app, content, since, now) {
            Look::Goes(admission) => return admission,
            Look::WaitsUntil(until) => {
                // Woken or not, it looks again.
                let _ = app.timers.timeout(until - now, changed).await;
            }
        }
    }
}

/// Whether a request that has waited since a moment goes on waiting.
enum Look {
    Goes(Admission),
    WaitsUntil(Instant),
}

fn look(app: &App, content: ContentKey, since: Instant, now: Instant) -> Look {
    let view = lock(&app.view);
    let cases = lock(&app.crashes.cases);
    let neighbours =
        |end: &EndedUpstream| view.neighbours(&end.service, &end.data_centre, end.upstream);
    let hold = cases.hold(content, now, neighbours);
    match hold.until(since, since + CONFIRM_WITHIN, now) {
        Some(until) => Look::WaitsUntil(until),
        None => Look::Goes(cases.admission(content, now, neighbours)),
    }
}

fn is_stopped(app: &App, content: ContentKey) -> bool {
    let cases = lock(&app.crashes.cases);
    cases.book.verdict(content, app.now()) == Verdict::Stopped
}

/// Waits until a content is stopped while its attempt has no token yet.
pub async fn called_back(app: &App, content: ContentKey, has_progress: impl Fn() -> bool) {
    loop {
        let mut changed = pin!(app.crashes.changed.notified());
        changed.as_mut().enable();
        if is_stopped(app, content) && !has_progress() {
            return;
        }
        changed.await;
    }
}

/// Records an attempt that was lost at an upstream, and finds out whether that ended. One that was
/// about to leave says nothing: it ends by itself.
pub fn on_lost(
    app: &Arc<App>,
    content: &Content<'_>,
    upstream: &UpstreamName,
    loss: Loss,
    ran_for: Duration,
) {
    let view = lock(&app.view);
    let known = view.upstream(upstream).cloned();
    let Some(known) = known.filter(|_| view.takes_work(upstream)) else {
        return;
    };
    drop(view);
    let attempt = BrokenAttempt {
        content: ContentKey::of(content),
        loss,
        ran_well: false,
        end: UpstreamEnd {
            upstream: hash_of(upstream.as_str()),
            start: wall_ms(),
        },
        upstream: ended_upstream(upstream, &known, app.now()),
        ran_for,
    };
    let change = |cases: &mut CrashCases| cases.on_broken(content, attempt);
    app.crashes.change(change);
    let (app, upstream) = (Arc::clone(app), upstream.clone());
    tokio::spawn(async move { probe(&app, &upstream, &known).await });
}

fn ended_upstream(name: &UpstreamName, upstream: &Upstream, at: Instant) -> EndedUpstream {
    EndedUpstream {
        upstream: hash_of(name.as_str()),
        service: upstream.service.clone(),
        data_centre: upstream.data_centre.clone(),
        at,
    }
}

/// Asks an upstream's host whether it has the process.
async fn probe(app: &App, name: &UpstreamName, upstream: &Upstream) {
    let asked = app.now();
    let host = ask(app, upstream).await;
    let now = app.now();
    let ended = ended_upstream(name, upstream, now);
    app.crashes.change(|cases| match host {
        Host::HasProcess => cases.on_alive(SignOfLife {
            upstream: ended.upstream,
            asked,
            answered: now,
        }),
        Host::HasNone => cases.on_end(ended),
        // It proves nothing; the host is asked again.
        Host::Silent => cases.on_death(ended, now),
    });
}

/// Asks the hosts again of which nothing was learned.
fn probe_unclear(app: &Arc<App>) {
    let unclear = lock(&app.crashes.cases).unclear(app.now());
    for broken in unclear {
        let view = lock(&app.view);
        let name = view.by_hash(broken.upstream);
        // Of one that has left the configuration nothing can be learned.
        let Some((name, known)) = name.and_then(|n| Some((n.clone(), view.upstream(&n)?.clone())))
        else {
            continue;
        };
        drop(view);
        let app = Arc::clone(app);
        tokio::spawn(async move { probe(&app, &name, &known).await });
    }
}

/// What a host says of a process at its address.
enum Host {
    HasProcess,
    HasNone,
    Silent,
}

/// An engine has to answer: the host of one that stands still takes connections. Plain services have no
/// question that costs nothing.
async fn ask(app: &App, upstream: &Upstream) -> Host {
    let host = connects(&app.timers, upstream.address).await;
    let config = app.config();
    let service = config.services.get(&upstream.service);
    let is_engine = service.is_some_and(|s| matches!(s.kind, ServiceKind::Model { .. }));
    if !matches!(host, Host::HasProcess) || !is_engine {
        return host;
    }
    match app.engines.engine(upstream.address).load().await {
        Ok(_) => Host::HasProcess,
        // It may have ended since, or stand still; it is asked again.
        Err(_) => Host::Silent,
    }
}

async fn connects(timers: &Timers, address: SocketAddr) -> Host {
    let connecting = timers.timeout(PROBE_TIMEOUT, TcpStream::connect(address));
    match connecting.await {
        Ok(Ok(_)) => Host::HasProcess,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Host::HasNone,
        Ok(Err(_)) | Err(_) => Host::Silent,
    }
}

/// Records that an upstream ran a request to its end.
pub fn on_completed(app: &App, content: &Content<'_>) {
    let acquitted = lock(&app.crashes.cases).on_completed(content, app.now());
    if acquitted.is_some() {
        app.news.notify_one();
        apply_verdicts(app, "it ran to its end");
    }
}

/// Judges attempts that broke off, until the process ends.
async fn judge_broken(app: Arc<App>) {
    loop {
        let mut changed = pin!(app.crashes.changed.notified());
        changed.as_mut().enable();
        let next_due = lock(&app.crashes.cases).next_due(app.now());
        match next_due {
            Some(at) => {
                let wait = at.saturating_duration_since(app.now());
                // Whether it was woken or something is due, it looks again.
                let _ = app.timers.timeout(wait, changed).await;
            }
            None => changed.await,
        }
        probe_unclear(&app);
        judge_due(&app);
    }
}

fn judge_due(app: &App) {
    let now = app.now();
    let (judged, dismissed) = {
        let view = lock(&app.view);
        let mut cases = lock(&app.crashes.cases);
        let judged = cases.judge(now, |end| {
            view.neighbours(&end.service, &end.data_centre, end.upstream)
        });
        (judged, cases.take_dismissed())
    };
    for dismissed in &dismissed {
        log_dismissed(app, dismissed);
    }
    if !dismissed.is_empty() {
        // Requests may wait for what is now known not to count.
        app.crashes.changed.notify_waiters();
    }
    if judged.is_empty() {
        return;
    }
    for judged in &judged {
        log_crash(app, judged);
    }
    app.news.notify_one();
    apply_verdicts(app, "this router");
    app.crashes.changed.notify_waiters();
}

/// The name of the upstream that an attempt was at.
fn upstream_name(app: &App, attempt: &BrokenAttempt) -> UpstreamName {
    let name = lock(&app.view).by_hash(attempt.end.upstream);
    // It may have left the configuration meanwhile.
    name.unwrap_or_else(|| UpstreamName::new("forgotten"))
}

fn log_dismissed(app: &App, dismissed: &Dismissed) {
    let line = CrashDismissed {
        content: dismissed.attempt.content.to_string(),
        upstream: &upstream_name(app, &dismissed.attempt),
        reason: dismissed.reason,
    };
    app.metrics.count("crash.dismissed", 1);
    app.log.info("crash.dismissed", &line);
}

fn log_crash(app: &App, judged: &Judged) {
    let name = upstream_name(app, &judged.attempt);
    let line = CrashRecorded {
        content: judged.attempt.content.to_string(),
        upstream: &name,
        ran_well: judged.attempt.ran_well,
        ends: judged.ends,
        evidence: judged.evidence,
    };
    app.metrics.count("crash.recorded", 1);
    app.log.warn("crash.recorded", &line);
}

/// What is reported to peers.
pub fn reports(app: &App) -> Vec<ContentReport> {
    let now = app.now();
    let cases = lock(&app.crashes.cases);
    let told = cases.book.with_evidence(MIN_TOLD, now);
    cases.book.reports(&told, now)
}

/// A digest that differs where what is reported to peers does, but for what was around ends; 0 for nothing.
pub fn digest(app: &App) -> u64 {
    let mut reports = reports(app);
    if reports.is_empty() {
        return 0;
    }
    reports.sort_by_key(|report| report.content);
    let parts = reports.iter().map(|report| {
        let excused = report.crashes.iter().filter(|crash| crash.excused);
        let (ends, excused) = (report.crashes.len(), excused.count());
        format!("{}/{ends}/{excused}", report.content)
    });
    hash_of(&parts.collect::<Vec<_>>().join(","))
}

/// Takes what a peer knows; passes on what was not known.
pub fn merge(app: &App, reports: &[ContentReport], from: &str) {
    let changed = lock(&app.crashes.cases).book.merge(reports, app.now());
    if changed.is_empty() {
        return;
    }
    app.news.notify_one();
    apply_verdicts(app, from);
    app.crashes.changed.notify_waiters();
}

fn apply_verdicts(app: &App, from: &str) {
    let now = app.now();
    let mut cases = lock(&app.crashes.cases);
    let changed = cases.book.changed_stops(now);
    let verdicts = |contents: &[ContentKey]| -> Vec<VerdictChanged<'_>> {
        let verdicts = contents.iter().map(|content| VerdictChanged {
            content: content.to_string(),
            ends: cases.book.crashes(*content, now),
            from,
        });
        verdicts.collect()
    };
    let (stopped, cleared) = (verdicts(&changed.stopped), verdicts(&changed.lifted));
    drop(cases);
    for verdict in stopped {
        app.metrics.count("content.stopped", 1);
        app.log.warn("content.stopped", &verdict);
    }
    for verdict in cleared {
        app.log.info("content.cleared", &verdict);
    }
}
