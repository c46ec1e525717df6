//! What was harmed in a run, and when: the checks' own record.
//!
//! A pause of an upstream is not in it: one that is silent for a while and then goes on is sound.

use super::plan::Action;
use crate::router_site::{GRACE, Site};
use cloverpier_core::UpstreamName;
use cloverpier_router_standin::link::Harm;
use std::time::{Duration, Instant};

/// Longer than any run: the end of a harm that goes on.
const OPEN_END: Duration = Duration::from_secs(3_600);
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

/// A harm to an upstream that may end what runs there.
#[derive(Clone, Copy, Debug)]
struct HarmedUpstream {
    upstream: usize,
    from: Instant,
    until: Instant,
}

/// The harms of a run.
#[derive(Clone, Debug, Default)]
pub struct HarmLog {
    /// How routers were disturbed.
    pub routers: Vec<Disturbed>,
    upstreams: Vec<HarmedUpstream>,
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

    /// Notes that all that was done to a router is over.
    pub fn end_router(&mut self, router: usize, now: Instant) {
        for entry in self.routers.iter_mut().filter(|d| d.router == router) {
            entry.until = entry.until.min(now);
        }
    }

    /// Notes the beginning of what may end the work of an upstream.
    pub fn begin_upstream(&mut self, action: &Action, now: Instant) {
        if let Some((upstream, lasts)) = harm_at_begin(action) {
            self.upstreams.push(HarmedUpstream {
                upstream,
                from: now,
                until: now + lasts,
            });
        }
    }

    /// Notes the end of it, which took from `from` until now.
    pub fn end_upstream(&mut self, action: &Action, from: Instant, now: Instant) {
        if let Action::Leave(upstream) = *action {
            self.upstreams.push(HarmedUpstream {
                upstream,
                from,
                until: now,
            });
            return;
        }
        let Some((upstream, _)) = harm_at_begin(action) else {
            return;
        };
        let open = |harm: &&mut HarmedUpstream| harm.upstream == upstream && harm.until > now;
        if let Some(harm) = self.upstreams.iter_mut().find(open) {
            harm.until = now;
        }
    }

    /// Whether nothing but pauses happened to an upstream in a span of time.
    pub fn was_sound(&self, upstream: &UpstreamName, from: Instant, until: Instant) -> bool {
        let mut harms = self.upstreams.iter();
        !harms.any(|harm| {
            Site::is_upstream_at(upstream, harm.upstream)
                && harm.from <= until
                && harm.until >= from
        })
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
}

/// The upstream whose work a harm may end as it begins, and for how long, if nothing ends it before.
fn harm_at_begin(action: &Action) -> Option<(usize, Duration)> {
    match *action {
        Action::CrashUpstream(upstream) | Action::StartAgain(upstream) => {
            Some((upstream, OPEN_END))
        }
        // Silence of a link is a pause.
        Action::HarmUpstreamLink(_, Harm::Silence) => None,
        Action::HarmUpstreamLink(upstream, _) => Some((upstream, OPEN_END)),
        Action::ResetConnections(upstream) => Some((upstream, Duration::ZERO)),
        _ => None,
    }
}
