//! The attempts of one answer that run at the same time.
//!
//! One is the rule. While its engine is silent, others may be sent the rest of the answer beside it. The
//! first that sends an event has the answer, and the others end. One that has sent nothing yet ends as
//! soon as another engine has accepted the order, so that a request that ends its engines is not begun at
//! several at once. What follows from a silence is decided in `cloverpier_route`. Owns the attempts;
//! [`super::run`] decides what follows when all have failed.

use crate::answers::attempt::{Attempt, Heard, cancel_in_background};
use crate::answers::failure::{Failure, Over};
use crate::answers::live::Live;
use crate::answers::outbox::send_news;
use crate::answers::seek::seek;
use crate::answers::tries::Tries;
use crate::app::App;
use crate::crashes;
use crate::seeking::{Seeking, sought};
use cloverpier_answer::{AttemptId, FinishReason, TokenOutcome};
use cloverpier_core::{UpstreamName, lock};
use cloverpier_crashes::LossCause;
use cloverpier_route::{KeepReason, SilenceStep, SilentAnswer};
use cloverpier_upstream::EngineEvent;
use futures_util::FutureExt;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::{Duration, Instant};

/// How often a race checks whether anybody still wants its answer.
const ABANDON_CHECK: Duration = Duration::from_millis(500);
/// How often it is decided anew what follows for a silent answer.
const SILENCE_CHECK: Duration = Duration::from_millis(100);

/// The attempts of one answer that run now.
pub(super) struct Race<'a> {
    app: &'a Arc<App>,
    live: &'a Arc<Live>,
    tries: &'a mut Tries,
    /// In the order in which they were sent; empty only once the race is over.
    attempts: Vec<Attempt<'a>>,
    /// Sends the rest of the answer to a further engine.
    seeking: Seeking<'a, Option<Attempt<'a>>>,
    /// Why the answer stays where it is, as it was last logged in this silence.
    kept: Option<KeepReason>,
}

impl<'a> Race<'a> {
    /// Begins with one attempt.
    pub fn new(
        app: &'a Arc<App>,
        live: &'a Arc<Live>,
        tries: &'a mut Tries,
        first: Attempt<'a>,
    ) -> Self {
        Self {
            app,
            live,
            tries,
            attempts: vec![first],
            seeking: None,
            kept: None,
        }
    }

    /// Takes events until the answer ends, all attempts have failed, or nobody wants it any more.
    pub async fn run(mut self) -> Over {
        loop {
            let wait = self.next_check();
            let over = tokio::select! {
                biased;
                (index, heard) = next(&mut self.attempts) => self.on_heard(index, heard),
                sought = sought(&mut self.seeking) => self.on_sought(sought),
                () = self.app.timers.sleep(wait) => self.on_check(),
            };
            if let Some(over) = over {
                return over;
            }
            if self.live.is_useless() {
                return Over::Moved;
            }
            if self.live.is_abandoned(self.app.now()) {
                return Over::Abandoned;
            }
        }
    }

    fn next_check(&self) -> Duration {
        let now = self.app.now();
        let newest = self.attempts.last();
        let left = newest.map_or(Duration::ZERO, |attempt| attempt.quiet.left(now));
        if left.is_zero() {
            SILENCE_CHECK
        } else {
            left.min(ABANDON_CHECK)
        }
    }

    fn on_heard(&mut self, index: usize, heard: Result<Heard, Failure>) -> Option<Over> {
        match heard {
            Ok(Heard::Accepted) => {
                self.on_accepted(index);
                None
            }
            Ok(Heard::Event(event)) => {
                self.give_to(index);
                self.take(event)
            }
            Err(failure) => self.on_failure(index, failure),
        }
    }

    /// Ends older attempts that have sent nothing, now that another engine has accepted the order.
    fn on_accepted(&mut self, index: usize) {
        let now = self.app.now();
        let newer = self.attempts.split_off(index);
        let (sending, silent): (Vec<_>, Vec<_>) =
            self.attempts.drain(..).partition(|a| a.has_sent());
        self.attempts = sending;
        self.attempts.extend(newer);
        if let (Some(from), Some(to)) = (silent.first(), self.attempts.first()) {
            from.silent(now).moved(self.app, &to.upstream);
        }
        for attempt in silent {
            self.hand_over(attempt);
        }
        if let [only] = self.attempts.as_mut_slice() {
            only.make_current();
        }
    }

    fn on_failure(&mut self, index: usize, failure: Failure) -> Option<Over> {
        let attempt = self.attempts.remove(index);
        self.lose(attempt, failure);
        self.attempts.is_empty().then_some(Over::Failed(failure))
    }

    /// Gives the answer to the attempt that has sent an event, and ends the others.
    fn give_to(&mut self, index: usize) {
        let now = self.app.now();
        let mut newer = self.attempts.split_off(index + 1);
        let Some(mut winner) = self.attempts.pop() else {
            return;
        };
        let older = std::mem::take(&mut self.attempts);
        if let Some(silent) = older.first() {
            silent.silent(now).moved(self.app, &winner.upstream);
        } else if winner.quiet.is_over(now) {
            winner.silent(now).outlived(self.app, newer.len());
        }
        for attempt in older {
            let failure = attempt.silence();
            self.lose(attempt, failure);
        }
        newer.clear();
        self.seeking = None;
        self.kept = None;
        winner.is_reported_lost = false;
        winner.make_current();
        winner.on_event(now);
        self.attempts.push(winner);
    }

    /// Takes an event of the only attempt that is left.
    fn take(&mut self, event: EngineEvent) -> Option<Over> {
        let attempt = self.attempts.first()?;
        let is_last = matches!(event, EngineEvent::Finish { .. });
        let over = match accept(self.live, attempt.id, event) {
            TokenOutcome::Accepted if is_last => Some(Over::Finished),
            TokenOutcome::Accepted | TokenOutcome::Repeated => None,
            TokenOutcome::Gap => self.on_failure(0, Failure::TokensMissing),
            TokenOutcome::Late | TokenOutcome::Closed => Some(Over::Moved),
        };
        let has_more = self
            .attempts
            .first()
            .is_some_and(|a| a.has_buffered_event());
        if over.is_some() || !has_more {
            send_news(self.app, self.live);
        }
        over
    }

    /// Decides what follows if nothing has arrived for too long.
    fn on_check(&mut self) -> Option<Over> {
        let now = self.app.now();
        if !self.attempts.last()?.quiet.is_over(now) {
            return None;
        }
        self.report_silence(now);
        for attempt in &mut self.attempts {
            attempt.ask_for_it(now);
        }
        if self.seeking.is_some() {
            return None;
        }
        match self.next_step(now) {
            SilenceStep::Keep(reason) => self.keep(reason),
            SilenceStep::TryAlso(_) => self.seek(),
            SilenceStep::End => return Some(self.expire()),
        }
        None
    }

    fn report_silence(&self, now: Instant) {
        let mut view = lock(&self.app.view);
        for attempt in self.attempts.iter().filter(|a| a.quiet.is_over(now)) {
            view.on_silent(&attempt.upstream, now);
        }
    }

    fn engines(&self) -> Vec<UpstreamName> {
        self.attempts.iter().map(|a| a.upstream.clone()).collect()
    }

    fn next_step(&self, now: Instant) -> SilenceStep {
        let Some(newest) = self.attempts.last() else {
            return SilenceStep::End;
        };
        let silent = SilentAnswer {
            engines: &self.engines(),
            repeatable: self.live.spec.repeatable,
            silent_for: newest.quiet.quiet_for(now),
            limit: newest.quiet.limit(),
        };
        let request = self.tries.request_for_rest(self.live);
        let view = lock(&self.app.view);
        view.on_silent_answer(&silent, &request, now, &mut lock(&self.app.rng))
    }

    fn keep(&mut self, reason: KeepReason) {
        if self.kept.replace(reason) == Some(reason) {
            return;
        }
        if let Some(attempt) = self.attempts.first() {
            attempt.silent(self.app.now()).kept(self.app, reason);
        }
    }

    /// Begins to send the rest to a further engine. From here on the silent attempts count as lost for the
    /// judgement on requests that end their engines.
    fn seek(&mut self) {
        let mut limit = Duration::ZERO;
        for attempt in &mut self.attempts {
            limit = attempt.quiet.limit();
            report_lost(self.app, self.live, attempt, LossCause::UpstreamSilent);
            attempt.end_turn();
        }
        let request = self.tries.request_for_rest(self.live);
        let seeking = seek(self.app, self.live, self.engines(), limit, request);
        self.seeking = Some(seeking.boxed());
    }

    fn on_sought(&mut self, sought: Option<Attempt<'a>>) -> Option<Over> {
        self.seeking = None;
        if let (Some(first), Some(attempt)) = (self.attempts.first(), &sought) {
            let silent = first.silent(self.app.now());
            silent.tried_also(self.app, &attempt.upstream);
        }
        self.attempts.extend(sought);
        None
    }

    /// Ends all attempts: no engine has continued the answer in time.
    fn expire(&mut self) -> Over {
        let attempts = std::mem::take(&mut self.attempts);
        let mut failure = Failure::Silent;
        if let Some(first) = attempts.first() {
            first.silent(self.app.now()).expired(self.app);
            failure = first.silence();
        }
        for attempt in attempts {
            let failure = attempt.silence();
            self.lose(attempt, failure);
        }
        Over::Failed(failure)
    }

    /// Records an attempt that failed.
    fn lose(&mut self, attempt: Attempt<'_>, failure: Failure) {
        if attempt.counts_against_engine() {
            let now = self.app.now();
            lock(&self.app.view).on_failure(&attempt.upstream, now);
        }
        self.end(attempt, failure);
    }

    /// Records an attempt that another engine has taken on. That its engine is silent alone is not shown
    /// by that.
    fn hand_over(&mut self, attempt: Attempt<'_>) {
        let failure = attempt.silence();
        self.end(attempt, failure);
    }

    fn end(&mut self, mut attempt: Attempt<'_>, failure: Failure) {
        let (app, live) = (self.app, self.live);
        self.tries.on_failed(&attempt.upstream, failure);
        if !attempt.counts_against_engine() {
            return;
        }
        attempt.log_failure(failure);
        let Some(loss) = failure.loss() else {
            return;
        };
        report_lost(app, live, &mut attempt, loss);
        if failure.is_silence() {
            cancel_in_background(app, live, attempt.id, &attempt.upstream);
        }
    }
}

/// Reports once that an engine may have ended by an attempt, or may yet.
fn report_lost(app: &Arc<App>, live: &Live, attempt: &mut Attempt<'_>, loss: LossCause) {
    if std::mem::replace(&mut attempt.is_reported_lost, true) {
        return;
    }
    let ran_for = app.now().saturating_duration_since(attempt.begun);
    crashes::on_lost(app, &live.spec.content(), &attempt.upstream, loss, ran_for);
}

/// Waits for what arrives next from any attempt, and says from which.
async fn next(attempts: &mut [Attempt<'_>]) -> (usize, Result<Heard, Failure>) {
    poll_fn(|cx| {
        for (index, attempt) in attempts.iter_mut().enumerate() {
            if let Poll::Ready(heard) = pin!(attempt.next()).poll(cx) {
                return Poll::Ready((index, heard));
            }
        }
        Poll::Pending
    })
    .await
}

fn accept(live: &Live, attempt: AttemptId, event: EngineEvent) -> TokenOutcome {
    live.change(|s| match event {
        EngineEvent::Token { offset, text } => s.answer.on_token(attempt, offset, text),
        EngineEvent::Finish { at, length } => {
            let reason = if length {
                FinishReason::Length
            } else {
                FinishReason::Stop
            };
            s.answer.on_finish(attempt, at, reason)
        }
    })
}
