//! What follows when a generation has received nothing from its engine for the stall timeout.
//!
//! - **Question.** Is the attempt kept as it is, does another engine begin the rest of the answer beside
//!   it, or does the answer end?
//! - **Inputs.** [`SilentAnswer`]; the signs of life of the service's engines in [`UpstreamView`].
//! - **Answer.** [`SilenceStep`].
//! - **Reason.** Silence does not distinguish a pause from a death, and engines pause together. So silence
//!   alone ends no attempt before [`CONTINUE_WITHIN`]: the attempt at the silent engine goes on until
//!   another engine has taken the answer on. Another engine is tried only if it shows signs of life, as a
//!   prompt is read again there. A generation that may run once stays where it is.

use crate::choose::{Choice, Chosen, RouteRequest};
use crate::view::{MAX_TRACKED, UpstreamEntry, UpstreamView};
use cloverpier_core::UpstreamName;
use serde::Serialize;
use std::time::{Duration, Instant};

/// How long an answer waits for an engine that continues it, its own included.
pub const CONTINUE_WITHIN: Duration = Duration::from_secs(20);
/// Engines that run one generation at once, at most: each reads the prompt.
pub const MAX_ATTEMPTS_AT_ONCE: usize = 3;

/// A generation of which no attempt has received anything for its stall timeout.
#[derive(Clone, Copy, Debug)]
pub struct SilentAnswer<'a> {
    /// Engines that run it now, in the order in which they were sent it.
    pub engines: &'a [UpstreamName],
    /// Whether a further engine may run it.
    pub repeatable: bool,
    /// For how long the last of them has sent nothing.
    pub silent_for: Duration,
    /// The stall timeout of that attempt.
    pub limit: Duration,
}

/// Why a silent generation stays at its engines only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum KeepReason {
    /// It may run once.
    RunsOnce,
    /// [`MAX_ATTEMPTS_AT_ONCE`] engines run it.
    EnoughAttempts,
    /// No other engine of the service takes work.
    NoOther,
    /// All others that take work have failed shortly before or seem to stand still, too.
    OthersSilent,
}

/// What follows for a silent generation.
#[derive(Clone, Debug, PartialEq)]
pub enum SilenceStep {
    /// It stays where it is.
    Keep(KeepReason),
    /// This engine begins its rest, beside those that have it.
    TryAlso(Chosen),
    /// It ends: no engine has continued it in time.
    End,
}

impl UpstreamView {
    /// Decides what follows for a silent generation; `request` is for its rest.
    pub fn on_silent_answer(
        &self,
        silent: &SilentAnswer<'_>,
        request: &RouteRequest,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> SilenceStep {
        if silent.silent_for >= silent.limit + CONTINUE_WITHIN {
            return SilenceStep::End;
        }
        if !silent.repeatable {
            return SilenceStep::Keep(KeepReason::RunsOnce);
        }
        if silent.engines.len() >= MAX_ATTEMPTS_AT_ONCE {
            return SilenceStep::Keep(KeepReason::EnoughAttempts);
        }
        match self.responsive_others(silent, request, now) {
            Ok(eligible) => match self.choose_among(&eligible, false, request, now, rng) {
                Choice::Chosen(chosen) => SilenceStep::TryAlso(chosen),
                Choice::Full | Choice::NoneAvailable => SilenceStep::Keep(KeepReason::NoOther),
            },
            Err(reason) => SilenceStep::Keep(reason),
        }
    }

    /// The engines that may begin the rest: those at which the generation has not failed, if there are any,
    /// and those that this router tracks rather than others.
    fn responsive_others(
        &self,
        silent: &SilentAnswer<'_>,
        request: &RouteRequest,
        now: Instant,
    ) -> Result<Vec<(&UpstreamName, &UpstreamEntry)>, KeepReason> {
        let mut others = self.accepting_upstreams(&request.service);
        let tracked: Vec<_> = others.iter().take(MAX_TRACKED).map(|(n, _)| *n).collect();
        others.retain(|(name, k)| !silent.engines.contains(name) && !k.in_wait_period(now));
        if others.is_empty() {
            return Err(KeepReason::NoOther);
        }
        others.retain(|(_, k)| !k.is_avoided(now) && !k.signs.is_silent(silent.limit, now));
        if others.is_empty() {
            return Err(KeepReason::OthersSilent);
        }
        prefer(&mut others, |name| tracked.contains(&name));
        prefer(&mut others, |name| !request.failed.contains(name));
        Ok(others)
    }

    /// Records that a stream of this router has received its first token from an upstream.
    pub fn on_streaming(&mut self, name: &UpstreamName, now: Instant) {
        self.change_signs(name, |signs| signs.on_streaming(now));
    }

    /// Records that a stream that had received a token has ended, in any way.
    pub fn on_stream_ended(&mut self, name: &UpstreamName) {
        self.change_signs(name, |signs| signs.on_stream_ended());
    }

    /// Records that a stream of this router has received a further event from an upstream.
    pub fn on_heard(&mut self, name: &UpstreamName, now: Instant) {
        self.change_signs(name, |signs| signs.on_heard(now));
    }

    /// Records that an attempt of this router has received nothing for its stall timeout.
    pub fn on_silent(&mut self, name: &UpstreamName, now: Instant) {
        self.change_signs(name, |signs| signs.on_silent(now));
    }

    /// Records that an upstream is asked for its load.
    pub fn on_load_query(&mut self, name: &UpstreamName, now: Instant) {
        self.change_signs(name, |signs| signs.on_load_query(now));
    }

    /// Records that an upstream has responded to a load query.
    pub fn on_load_response(&mut self, name: &UpstreamName) {
        self.change_signs(name, |signs| signs.on_load_response());
    }

    fn change_signs(
        &mut self,
        name: &UpstreamName,
        change: impl FnOnce(&mut crate::signs_of_life::SignsOfLife),
    ) {
        if let Some(entry) = self.upstreams.get_mut(name) {
            change(&mut entry.signs);
        }
    }
}

/// Keeps those that are preferred, or all if none is.
fn prefer(
    upstreams: &mut Vec<(&UpstreamName, &UpstreamEntry)>,
    is_preferred: impl Fn(&UpstreamName) -> bool,
) {
    if upstreams.iter().any(|(name, _)| is_preferred(name)) {
        upstreams.retain(|(name, _)| is_preferred(name));
    }
}
