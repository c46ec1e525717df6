//! What requests did to upstreams: learns it, judges it, shares it, and stops what ends them.
//!
//! Owns what this router knows of contents, and the attempts that broke off and are not judged yet.
//! What an end says and what follows is decided in `cloverpier_crashes`, as for the router on the
//! platform; [`crate::members`] carries what is known to peers. Upstreams do not say when they
//! started, so an end is told from the next one of the same upstream by its time.

use crate::app::App;
use crate::error::{ApiError, Run};
use cloverpier_config::Upstream;
use cloverpier_core::{UpstreamName, hash_of, lock, wall_ms};
use cloverpier_crashes::book::SUSPECT_FROM;
use cloverpier_crashes::prelude::*;
use cloverpier_settings::CrashSettings;
use salvo::http::StatusCode;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// How long a probe waits for the host of an upstream whose connection broke. One without the process
/// refuses within a round trip. Chosen, not measured.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// A request that may be about to end one upstream too many waits for the judgement of its last
/// attempt for so long at most. Chosen, not measured.
const MAX_HOLD: Duration = Duration::from_millis(250);
/// What has to be known against a content for peers to hear of it, in thousandths of an end that
/// nothing else explains. Chosen, not measured.
const MIN_TOLD: u32 = 250;

/// What this router knows of requests that end upstreams.
#[derive(Debug)]
pub struct Crashes {
    book: Mutex<CrashBook>,
    broken: Mutex<BrokenAttempts>,
    ended: Mutex<EndedUpstreams>,
    recent: Mutex<RecentContents>,
    /// Wakes the loop that judges, and requests that wait for a judgement or a call back.
    changed: Notify,
}

impl Crashes {
    /// Knows of no end yet.
    pub fn new(settings: &CrashSettings) -> Self {
        let mut book = CrashBook::new(settings.limit);
        book.set_bounds(settings.limit, settings.cleared.clone());
        Self {
            book: Mutex::new(book),
            broken: Mutex::default(),
            ended: Mutex::default(),
            recent: Mutex::default(),
            changed: Notify::new(),
        }
    }
}

/// How a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Like any other.
    Beside,
    /// Where it meets the fewest others: it may be what ended two upstreams.
    Apart,
    /// Not at all.
    Stopped,
}

impl Admission {
    /// The number that keeps a content apart, where it is to be.
    pub fn apart(self, content: ContentKey) -> Option<u64> {
        (self == Self::Apart).then(|| content.spread())
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
/// many, it waits until the last one is judged.
pub async fn admit(app: &App, content: ContentKey) -> Admission {
    let until = app.now() + MAX_HOLD;
    while awaits_judgement(app, content) && app.now() < until {
        let changed = app.crashes.changed.notified();
        let left = until.saturating_duration_since(app.now());
        // Whether it was woken or the time is up, it looks again.
        let _ = tokio::time::timeout(left, changed).await;
    }
    admission(app, content)
}

fn awaits_judgement(app: &App, content: ContentKey) -> bool {
    let CrashLimit(limit) = app.settings.crashes.limit;
    let open = lock(&app.crashes.broken).open_with(content);
    let known = lock(&app.crashes.book).crashes(content, app.now());
    limit > 0 && open > 0 && open + known >= limit as usize
}

fn admission(app: &App, content: ContentKey) -> Admission {
    let now = app.now();
    let open = lock(&app.crashes.broken).open_with(content);
    let book = lock(&app.crashes.book);
    let full = Weight::FULL.thousandths();
    // Fewer than 2^32 are open.
    let against = book.evidence(content, now) + open as u32 * full;
    match book.verdict(content, now) {
        Verdict::Stopped => Admission::Stopped,
        _ if against >= SUSPECT_FROM * full => Admission::Apart,
        _ => Admission::Beside,
    }
}

fn is_stopped(app: &App, content: ContentKey) -> bool {
    lock(&app.crashes.book).verdict(content, app.now()) == Verdict::Stopped
}

/// Waits until a content is stopped while its attempt has brought nothing.
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

/// Records an attempt whose connection broke, and finds out whether its upstream ended.
pub fn on_broken(
    app: &Arc<App>,
    content: ContentKey,
    is_recent: bool,
    upstream: &UpstreamName,
    begun: Instant,
) {
    let Some(known) = lock(&app.view).upstream(upstream).cloned() else {
        // It left the configuration meanwhile: it ended because it was to.
        return;
    };
    if !lock(&app.view).takes_work(upstream) {
        return;
    }
    let now = app.now();
    let attempt = BrokenAttempt {
        content,
        ran_well: is_recent,
        end: UpstreamEnd {
            upstream: hash_of(upstream.as_str()),
            start: wall_ms(),
        },
        upstream: ended_upstream(upstream, &known, now),
        ran_for: now.saturating_duration_since(begun),
    };
    lock(&app.crashes.broken).on_broken(attempt, false);
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
    let key = hash_of(name.as_str());
    match connects(upstream.address).await {
        Host::HasProcess => lock(&app.crashes.broken).on_alive(key),
        Host::HasNone => {
            let ended = ended_upstream(name, upstream, app.now());
            lock(&app.crashes.ended).on_end(ended);
            lock(&app.crashes.broken).on_end(key);
        }
        // Silence proves nothing; the attempt lapses.
        Host::Silent => {}
    }
    app.crashes.changed.notify_waiters();
}

/// What a host says of a process at its address.
enum Host {
    HasProcess,
    HasNone,
    Silent,
}

async fn connects(address: SocketAddr) -> Host {
    let connecting = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address));
    match connecting.await {
        Ok(Ok(_)) => Host::HasProcess,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Host::HasNone,
        Ok(Err(_)) | Err(_) => Host::Silent,
    }
}

/// Records that an upstream ran a request to its end.
pub fn on_completed(app: &App, content: &Content<'_>) {
    let now = app.now();
    lock(&app.crashes.recent).on_completed(content, now);
    if lock(&app.crashes.book).is_empty() {
        return;
    }
    if lock(&app.crashes.book).on_completed(ContentKey::of(content)) {
        app.news.notify_one();
        apply_verdicts(app, "it ran to its end");
    }
}

/// Whether a content ran to its end a moment ago.
pub fn ran_well(app: &App, content: &Content<'_>) -> bool {
    lock(&app.crashes.recent).ran_well(content, app.now())
}

/// Judges attempts that broke off, until the process ends.
async fn judge_broken(app: Arc<App>) {
    loop {
        let mut changed = pin!(app.crashes.changed.notified());
        changed.as_mut().enable();
        let next_due = lock(&app.crashes.broken).next_due();
        match next_due {
            Some(at) => {
                let wait = at.saturating_duration_since(app.now());
                // Whether it was woken or something is due, it looks again.
                let _ = tokio::time::timeout(wait, changed).await;
            }
            None => changed.await,
        }
        judge_due(&app);
    }
}

fn judge_due(app: &App) {
    let now = app.now();
    let due = {
        let mut broken = lock(&app.crashes.broken);
        // Each was probed when it broke off.
        let _ = broken.unclear(now);
        broken.due(now)
    };
    if due.is_empty() {
        return;
    }
    for attempt in due {
        record(app, attempt, now);
    }
    app.news.notify_one();
    apply_verdicts(app, "this router");
    app.crashes.changed.notify_waiters();
}

fn record(app: &App, attempt: BrokenAttempt, now: Instant) {
    let surroundings = surroundings(app, &attempt.upstream);
    let content = attempt.content;
    let crash = Crash {
        end: attempt.end,
        at: attempt.upstream.at,
        ran_for: attempt.ran_for,
        surroundings,
        excused: attempt.ran_well,
    };
    let mut book = lock(&app.crashes.book);
    book.record(content, crash, now);
    let (ends, evidence) = (book.crashes(content, now), book.evidence(content, now));
    drop(book);
    app.metrics.count("crash.recorded", 1);
    let view = lock(&app.view);
    let name = view.by_hash(attempt.end.upstream);
    let name = name.unwrap_or_else(|| UpstreamName::new("forgotten"));
    drop(view);
    let line = CrashRecorded {
        content: content.to_string(),
        upstream: &name,
        ran_well: attempt.ran_well,
        ends,
        evidence,
    };
    app.log.warn("crash.recorded", &line);
}

fn surroundings(app: &App, end: &EndedUpstream) -> Surroundings {
    let view = lock(&app.view);
    let count = view.neighbours(&end.service, &end.data_centre, end.upstream);
    Surroundings {
        in_service: count.in_service,
        in_data_centre: count.in_data_centre,
        ended: lock(&app.crashes.ended).beside(end),
    }
}

/// What peers are told.
pub fn reports(app: &App) -> Vec<ContentReport> {
    let now = app.now();
    let book = lock(&app.crashes.book);
    book.reports(&book.with_evidence(MIN_TOLD, now), now)
}

/// A digest that differs where what peers are told does, but for what was around ends; 0 for nothing.
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

/// Takes what a peer knows; passes it on when it is news.
pub fn merge(app: &App, reports: &[ContentReport], from: &str) {
    let changed = lock(&app.crashes.book).merge(reports, app.now());
    if changed.is_empty() {
        return;
    }
    app.news.notify_one();
    apply_verdicts(app, from);
    app.crashes.changed.notify_waiters();
}

fn apply_verdicts(app: &App, from: &str) {
    let now = app.now();
    let mut book = lock(&app.crashes.book);
    let changed = book.changed_stops(now);
    let verdicts = |contents: &[ContentKey]| -> Vec<VerdictChanged<'_>> {
        let verdicts = contents.iter().map(|content| VerdictChanged {
            content: content.to_string(),
            ends: book.crashes(*content, now),
            from,
        });
        verdicts.collect()
    };
    let (stopped, cleared) = (verdicts(&changed.stopped), verdicts(&changed.lifted));
    drop(book);
    for verdict in stopped {
        app.metrics.count("content.stopped", 1);
        app.log.warn("content.stopped", &verdict);
    }
    for verdict in cleared {
        app.log.info("content.cleared", &verdict);
    }
}
