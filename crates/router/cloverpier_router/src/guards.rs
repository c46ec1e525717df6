//! What is under way at this front; each thing ends when its guard is dropped.

use crate::front::Front;
use cloverpier_core::UpstreamName;
use cloverpier_router_policy::prelude::*;
use std::rc::Rc;
use std::time::Instant;

/// Work at a server that ends when this is dropped.
#[derive(Debug)]
pub(crate) struct WorkGuard {
    front: Rc<Front>,
    server: UpstreamName,
    work: Work,
}

impl WorkGuard {
    /// Begins work at a server.
    pub fn begin(front: &Rc<Front>, server: &UpstreamName, work: Work) -> Self {
        front.fleet.borrow_mut().begin(server, work);
        Self {
            front: Rc::clone(front),
            server: server.clone(),
            work,
        }
    }

    /// Notes that the prompt has been read.
    pub fn on_prompt_read(&mut self) {
        let read = Work {
            unread_tokens: self.work.unread_tokens,
            ..Work::default()
        };
        self.front.fleet.borrow_mut().end(&self.server, read);
        self.work.unread_tokens = 0;
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.front.fleet.borrow_mut().end(&self.server, self.work);
    }
}

/// A running stream whose prompt's place peers are told of again and again.
#[derive(Debug)]
pub(crate) struct RunningStream {
    front: Rc<Front>,
    prompt: PromptKey,
    server: ServerKey,
}

impl RunningStream {
    /// Remembers where a prompt is being read, and has peers remember it.
    pub fn begin(
        front: &Rc<Front>,
        prompt: PromptKey,
        server: &UpstreamName,
        now: Instant,
    ) -> Self {
        let server = ServerKey::of(server);
        front.places.borrow_mut().on_read(prompt, server, now);
        front.changed_places.borrow_mut().push((prompt, server));
        front.running.borrow_mut().insert(prompt, server);
        Self {
            front: Rc::clone(front),
            prompt,
            server,
        }
    }
}

impl Drop for RunningStream {
    fn drop(&mut self) {
        let mut running = self.front.running.borrow_mut();
        // The stream may have gone on elsewhere meanwhile.
        if running.get(&self.prompt) == Some(&self.server) {
            running.remove(&self.prompt);
        }
    }
}

/// One request in flight; a planned stop waits for all of them.
#[derive(Debug)]
pub(crate) struct InFlight(Rc<Front>);

impl InFlight {
    /// Counts a request.
    pub fn begin(front: &Rc<Front>) -> Self {
        front.in_flight.set(front.in_flight.get() + 1);
        Self(Rc::clone(front))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
