//! What is under way at this router; each thing ends when its guard is dropped.

use crate::router::Router;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::prelude::*;
use std::rc::Rc;
use std::time::Instant;

/// Work at a upstream that ends when this is dropped.
#[derive(Debug)]
pub(crate) struct LoadGuard {
    router: Rc<Router>,
    upstream: UpstreamName,
    load: Load,
}

impl LoadGuard {
    /// Begins load at a upstream.
    pub fn begin(router: &Rc<Router>, upstream: &UpstreamName, load: Load) -> Self {
        router.upstreams.borrow_mut().begin(upstream, load);
        Self {
            router: Rc::clone(router),
            upstream: upstream.clone(),
            load,
        }
    }

    /// Notes that the prompt has been read.
    pub fn on_prompt_read(&mut self) {
        let read = Load {
            unread_tokens: self.load.unread_tokens,
            ..Load::default()
        };
        self.router.upstreams.borrow_mut().end(&self.upstream, read);
        self.load.unread_tokens = 0;
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.router
            .upstreams
            .borrow_mut()
            .end(&self.upstream, self.load);
    }
}

/// A running stream whose prompt's place peers are told of again and again.
#[derive(Debug)]
pub(crate) struct RunningStream {
    router: Rc<Router>,
    prompt: PromptKey,
    upstream: UpstreamKey,
}

impl RunningStream {
    /// Remembers where a prompt is being read, and has peers remember it.
    pub fn begin(
        router: &Rc<Router>,
        prompt: PromptKey,
        upstream: &UpstreamName,
        now: Instant,
    ) -> Self {
        let upstream = UpstreamKey::of(upstream);
        router
            .prompt_locations
            .borrow_mut()
            .on_read(prompt, upstream, now);
        router
            .new_prompt_locations
            .borrow_mut()
            .push((prompt, upstream));
        router.running.borrow_mut().insert(prompt, upstream);
        Self {
            router: Rc::clone(router),
            prompt,
            upstream,
        }
    }
}

impl Drop for RunningStream {
    fn drop(&mut self) {
        let mut running = self.router.running.borrow_mut();
        // The stream may have gone on elsewhere meanwhile.
        if running.get(&self.prompt) == Some(&self.upstream) {
            running.remove(&self.prompt);
        }
    }
}

/// One request in flight; a planned stop waits for all of them.
#[derive(Debug)]
pub(crate) struct InFlight(Rc<Router>);

impl InFlight {
    /// Counts a request.
    pub fn begin(router: &Rc<Router>) -> Self {
        router.in_flight.set(router.in_flight.get() + 1);
        Self(Rc::clone(router))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
