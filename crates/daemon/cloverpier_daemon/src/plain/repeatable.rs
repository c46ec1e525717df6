//! Calls that may be repeated: at one upstream after the other where they fail, and at others beside the
//! first one while it is silent.
//!
//! What follows from a silence is decided in `cloverpier_route`. Owns the attempts of one call.

use super::{Placed, TRIES, content, place, placed, try_at};
use crate::admission::choose_beside;
use crate::app::App;
use crate::crashes::{self, Admitted};
use crate::error::{ApiError, Run};
use crate::seeking::{Seeking, sought};
use crate::silence_log::Silent;
use cloverpier_core::{RequestKey, ServiceName, UpstreamName, lock};
use cloverpier_crashes::{Admission, ContentKey, RequestContent};
use cloverpier_route::{CONTINUE_WITHIN, KeepReason, RouteRequest, SilenceStep, SilentAnswer};
use cloverpier_upstream::{PlainCall, PlainError, PlainResponse};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// When a caller should retry after none of its service's upstreams answered.
const ALL_FAILED_RETRY: Duration = Duration::from_secs(1);
/// How often it is decided anew what follows for a silent call.
const SILENCE_CHECK: Duration = Duration::from_millis(250);

/// What a call is.
struct Call<'a> {
    app: &'a Arc<App>,
    service: &'a ServiceName,
    key: &'a RequestKey,
    content: RequestContent<'a>,
    content_key: ContentKey,
    /// With the time for all of it.
    req: PlainCall,
    /// The time after which an upstream that has not answered counts as silent.
    limit: Duration,
    begun: Instant,
}

/// How far it is.
#[derive(Default)]
struct Progress {
    /// Upstreams that have the call, in the order in which they were sent it, and when.
    sent: Vec<(UpstreamName, Instant)>,
    failed: Vec<UpstreamName>,
    tries: u32,
    may_have_run: bool,
    /// Why it stays where it is, as it was last logged.
    kept: Option<KeepReason>,
}

/// The end of one attempt.
struct Ended {
    upstream: UpstreamName,
    result: Result<PlainResponse, PlainError>,
}

/// Passes a call on that may be repeated.
pub(super) async fn call(
    app: &Arc<App>,
    service: &ServiceName,
    key: &RequestKey,
    req: &PlainCall,
) -> Result<PlainResponse, ApiError> {
    let content = content(service, key, req);
    let call = Call {
        app,
        service,
        key,
        content_key: ContentKey::of(&content),
        content,
        req: PlainCall {
            timeout: req.timeout + CONTINUE_WITHIN,
            ..req.clone()
        },
        limit: req.timeout,
        begun: app.now(),
    };
    call.run().await
}

impl Call<'_> {
    async fn run(&self) -> Result<PlainResponse, ApiError> {
        let mut progress = Progress::default();
        let mut attempts = FuturesUnordered::new();
        let mut seeking: Seeking<'_, Option<Placed<'_>>> = None;
        loop {
            if attempts.is_empty() {
                let place = self.next_place(&progress).await?;
                attempts.push(self.attempt(place, &mut progress));
            }
            tokio::select! {
                biased;
                Some(ended) = attempts.next() => {
                    if let Some(answer) = self.on_ended(ended, &mut progress) {
                        return Ok(answer);
                    }
                }
                place = sought(&mut seeking) => {
                    seeking = None;
                    if let Some(place) = place {
                        if let Some(silent) = self.silent(&progress) {
                            silent.tried_also(self.app, &place.chosen.upstream);
                        }
                        attempts.push(self.attempt(place, &mut progress));
                    }
                }
                () = self.app.timers.sleep(self.next_check(&progress)) => {
                    match self.next_step(&progress) {
                        SilenceStep::TryAlso(_) if seeking.is_none() => {
                            seeking = Some(self.seek(&progress));
                        }
                        SilenceStep::TryAlso(_) => {}
                        SilenceStep::Keep(reason) => self.keep(reason, &mut progress),
                        SilenceStep::End => return Err(self.expire(&progress)),
                    }
                }
            }
        }
    }

    /// A place after all attempts so far have failed.
    async fn next_place(&self, progress: &Progress) -> Result<Placed<'_>, ApiError> {
        if progress.tries >= TRIES {
            return Err(self.none_answered());
        }
        let failed = &progress.failed;
        let place = place(self.app, self.service, self.key, self.content_key, failed);
        place.await.map_err(|error| {
            if progress.may_have_run {
                error.with_run(Run::Unknown)
            } else {
                error
            }
        })
    }

    fn attempt<'b>(&'b self, place: Placed<'b>, progress: &mut Progress) -> BoxFuture<'b, Ended> {
        let upstream = place.chosen.upstream.clone();
        progress.sent.push((upstream.clone(), self.app.now()));
        progress.tries += 1;
        let attempt = async move {
            let result = try_at(self.app, &self.content, &place.chosen, &self.req).await;
            Ended { upstream, result }
        };
        attempt.boxed()
    }

    fn on_ended(&self, ended: Ended, progress: &mut Progress) -> Option<PlainResponse> {
        let at = progress
            .sent
            .iter()
            .position(|(name, _)| *name == ended.upstream);
        match ended.result {
            Ok(answer) => {
                self.on_answered(at.unwrap_or(0), progress);
                Some(answer)
            }
            // `try_at` has counted it; the next try goes elsewhere.
            Err(error) => {
                progress.may_have_run |= !matches!(error, PlainError::NotReached { .. });
                at.map(|at| progress.sent.remove(at));
                progress.failed.push(ended.upstream);
                None
            }
        }
    }

    /// Records what an answer says of those that were sent the call before the one that answered.
    fn on_answered(&self, at: usize, progress: &Progress) {
        let now = self.app.now();
        let Some((winner, sent_at)) = progress.sent.get(at) else {
            return;
        };
        let is_late = now.saturating_duration_since(*sent_at) >= self.limit;
        match self.silent(progress) {
            Some(silent) if at > 0 => silent.moved(self.app, winner),
            Some(silent) if is_late => silent.outlived(self.app, progress.sent.len() - 1),
            Some(_) | None => {}
        }
        for (silent, _) in progress.sent.iter().take(at) {
            lock(&self.app.view).on_failure(silent, now);
        }
    }

    fn next_check(&self, progress: &Progress) -> Duration {
        let now = self.app.now();
        let newest = progress.sent.last();
        let quiet = newest.map(|(_, at)| now.saturating_duration_since(*at));
        let left = self.limit.saturating_sub(quiet.unwrap_or_default());
        left.max(SILENCE_CHECK)
    }

    fn next_step(&self, progress: &Progress) -> SilenceStep {
        let now = self.app.now();
        let engines: Vec<UpstreamName> = progress.sent.iter().map(|(n, _)| n.clone()).collect();
        let silent = SilentAnswer {
            engines: &engines,
            repeatable: true,
            silent_for: now.saturating_duration_since(self.begun),
            limit: self.limit,
        };
        let request = self.request(progress);
        let mut view = lock(&self.app.view);
        for (name, at) in &progress.sent {
            if now.saturating_duration_since(*at) >= self.limit {
                view.on_silent(name, now);
            }
        }
        let step = view.on_silent_answer(&silent, &request, now, &mut lock(&self.app.rng));
        match step {
            SilenceStep::TryAlso(_) if progress.tries >= TRIES => {
                SilenceStep::Keep(KeepReason::EnoughAttempts)
            }
            step => step,
        }
    }

    fn request(&self, progress: &Progress) -> RouteRequest {
        let mut request = RouteRequest::new(self.service.clone());
        request.failed = progress.failed.clone();
        request.overcommit = true;
        request
    }

    /// Looks for a place beside those that have the call.
    fn seek(&self, progress: &Progress) -> BoxFuture<'_, Option<Placed<'_>>> {
        let engines: Vec<UpstreamName> = progress.sent.iter().map(|(n, _)| n.clone()).collect();
        let mut request = self.request(progress);
        let seek = async move {
            let Admitted { admission, turn } = crashes::admit(self.app, self.content_key).await;
            if admission == Admission::Blocked {
                return None;
            }
            request.isolation_key = admission.isolation_key(self.content_key);
            let silent = SilentAnswer {
                engines: &engines,
                repeatable: true,
                silent_for: self.limit,
                limit: self.limit,
            };
            let SilenceStep::TryAlso(chosen) = choose_beside(self.app, &silent, &request) else {
                return None;
            };
            Some(placed(self.app, self.service, self.key, chosen, turn))
        };
        seek.boxed()
    }

    fn keep(&self, reason: KeepReason, progress: &mut Progress) {
        let is_new = progress.kept.replace(reason) != Some(reason);
        if let Some(silent) = self.silent(progress).filter(|_| is_new) {
            silent.kept(self.app, reason);
        }
    }

    fn expire(&self, progress: &Progress) -> ApiError {
        if let Some(silent) = self.silent(progress) {
            silent.expired(self.app);
        }
        let now = self.app.now();
        for (silent, _) in &progress.sent {
            lock(&self.app.view).on_failure(silent, now);
        }
        self.none_answered()
    }

    /// The silence of the first upstream that has the call, for the log; `None` if none has it.
    fn silent<'b>(&'b self, progress: &'b Progress) -> Option<Silent<'b>> {
        let (upstream, at) = progress.sent.first()?;
        Some(Silent {
            request: self.key.as_str(),
            upstream,
            silent_for: self.app.now().saturating_duration_since(*at),
        })
    }

    fn none_answered(&self) -> ApiError {
        let message = format!("no upstream of {} answered", self.service);
        let error = ApiError::busy("upstream_failed", message, ALL_FAILED_RETRY);
        error.with_run(Run::Unknown)
    }
}
