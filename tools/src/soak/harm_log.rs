//! What was harmed in a run, and when: the checks' own record.
//!
//! A silence of an upstream is no harm to it: one that is silent for a while and then goes on is sound.

use super::plan::Action;
use crate::router_site::{GRACE, Site};
use cloverpier_core::UpstreamName;
use cloverpier_router_standin::link::Harm;
use std::time::{Duration, Instant};

/// Longer than any run: the end of a harm that goes on.
const OPEN_END: Duration = Duration::from_secs(3_600);
/// The end of a process ends within this time what others carry through it.
const END_NOTICED: Duration = Duration::from_millis(300);
/// A process that was started again is still coming up for so long.
const AFTERMATH: Duration = Duration::from_millis(500);

/// How a router was disturbed, and when.
#[derive(Clone, Copy, Debug)]
pub struct Disturbed {
    /// The router.
    pub router: usize,
    /// From when on.
    pub from: Instant,
    /// Until when; later effects included.
    pub until: Instant,
    /// What was done to it.
    pub disturbance: Disturbance,
}

/// What is done to a router's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// It is stopped as planned, which must cut nothing.
    Stop,
    /// It is killed.
    Kill,
    /// It stands still.
    Freeze,
}

/// A span of time in which something was done to an upstream.
#[derive(Clone, Copy, Debug)]
struct UpstreamSpan {
    upstream: usize,
    from: Instant,
    until: Instant,
}

impl UpstreamSpan {
    /// Whether it concerns an upstream and overlaps a span of time.
    fn overlaps(&self, upstream: &UpstreamName, from: Instant, until: Instant) -> bool {
        Site::is_upstream_at(upstream, self.upstream) && self.from <= until && self.until >= from
    }
}

/// Ends the first span of an upstream that goes on.
fn end_first(spans: &mut [UpstreamSpan], upstream: usize, now: Instant) {
    let goes_on = |span: &&mut UpstreamSpan| span.upstream == upstream && span.until > now;
    if let Some(span) = spans.iter_mut().find(goes_on) {
        span.until = now;
    }
}

/// The harms of a run.
#[derive(Clone, Debug, Default)]
pub struct HarmLog {
    /// How routers were disturbed.
    pub routers: Vec<Disturbed>,
    /// What may have ended the work of upstreams.
    upstreams: Vec<UpstreamSpan>,
    silences: Vec<UpstreamSpan>,
}

impl HarmLog {
    /// Notes that a router is disturbed from now on.
    pub fn begin_router(&mut self, router: usize, disturbance: Disturbance, now: Instant) {
        self.routers.push(Disturbed {
            router,
            from: now,
            until: now + OPEN_END,
            disturbance,
        });
    }

    /// Notes that a router goes on that stood still; a stop of it may go on, too.
    pub fn end_freeze(&mut self, router: usize, now: Instant) {
        self.end(router, now, |entry| {
            entry.disturbance == Disturbance::Freeze
        });
    }

    /// Notes that a process serves in the place of a router's former one: all that was done to that is over.
    pub fn end_router(&mut self, router: usize, now: Instant) {
        self.end(router, now, |_| true);
    }

    fn end(&mut self, router: usize, now: Instant, is_over: impl Fn(&Disturbed) -> bool) {
        let of_router = self.routers.iter_mut().filter(|d| d.router == router);
        for entry in of_router.filter(|entry| is_over(entry)) {
            entry.until = entry.until.min(now);
        }
    }

    /// Notes that something is done to an upstream from now on.
    pub fn begin_upstream(&mut self, action: &Action, now: Instant) {
        let span = |upstream, lasts| UpstreamSpan {
            upstream,
            from: now,
            until: now + lasts,
        };
        match effect(action) {
            Effect::MayEnd(upstream, lasts) => self.upstreams.push(span(upstream, lasts)),
            Effect::Silences(upstream) => self.silences.push(span(upstream, OPEN_END)),
            Effect::EndsLast(_) | Effect::None => {}
        }
    }

    /// Notes the end of it, which took from `from` until now.
    pub fn end_upstream(&mut self, action: &Action, from: Instant, now: Instant) {
        match effect(action) {
            Effect::MayEnd(upstream, _) => end_first(&mut self.upstreams, upstream, now),
            Effect::Silences(upstream) => end_first(&mut self.silences, upstream, now),
            Effect::EndsLast(upstream) => self.upstreams.push(UpstreamSpan {
                upstream,
                from,
                until: now,
            }),
            Effect::None => {}
        }
    }

    /// Whether an upstream was at most silent in a span of time.
    pub fn was_sound(&self, upstream: &UpstreamName, from: Instant, until: Instant) -> bool {
        let mut harms = self.upstreams.iter();
        !harms.any(|harm| harm.overlaps(upstream, from, until))
    }

    /// How much of a span of time an upstream was silent.
    pub fn silence_of(&self, upstream: &UpstreamName, from: Instant, until: Instant) -> Duration {
        let silences = self.silences.iter();
        let silences = silences.filter(|silence| silence.overlaps(upstream, from, until));
        let mut spans: Vec<(Instant, Instant)> = silences
            .map(|silence| (silence.from.max(from), silence.until.min(until)))
            .collect();
        spans.sort_unstable();
        let mut counted_until = from;
        let mut silent = Duration::ZERO;
        for (begin, end) in spans {
            silent += end.saturating_duration_since(begin.max(counted_until));
            counted_until = counted_until.max(end);
        }
        silent
    }

    /// Whether a router could have answered all the time what it got at `at`: it was not killed, nor at the end of its
    /// grace period.
    pub fn could_answer(&self, router: usize, at: Instant, until: Instant) -> bool {
        let of_router = self.routers.iter().filter(|d| d.router == router);
        !of_router.into_iter().any(|d| match d.disturbance {
            Disturbance::Kill => d.from <= until && at <= d.until + AFTERMATH,
            Disturbance::Stop => {
                d.from <= until && at <= d.until && until >= d.from + GRACE * 5 / 6
            }
            Disturbance::Freeze => false,
        })
    }

    /// Whether a router was killed shortly before a moment, so that what another one sent through it broke off.
    pub fn was_router_killed_before(&self, at: Instant) -> bool {
        let kills = self.routers.iter();
        let mut kills = kills.filter(|d| d.disturbance == Disturbance::Kill);
        kills.any(|kill| kill.from <= at && at <= kill.from + END_NOTICED)
    }
}

/// What an action does to what runs at an upstream.
enum Effect {
    /// It may end it as it begins, and for so long, if nothing ends it before.
    MayEnd(usize, Duration),
    /// It ends it at its own end.
    EndsLast(usize),
    /// It delays it.
    Silences(usize),
    None,
}

fn effect(action: &Action) -> Effect {
    match *action {
        Action::CrashUpstream(upstream) | Action::StartAgain(upstream) => {
            Effect::MayEnd(upstream, OPEN_END)
        }
        Action::ResetConnections(upstream) => Effect::MayEnd(upstream, Duration::ZERO),
        Action::Leave(upstream) => Effect::EndsLast(upstream),
        Action::PauseUpstream(upstream)
        | Action::PauseWork(upstream)
        | Action::HarmUpstreamLink(upstream, Harm::Silence) => Effect::Silences(upstream),
        Action::HarmUpstreamLink(upstream, _) => Effect::MayEnd(upstream, OPEN_END),
        _ => Effect::None,
    }
}
