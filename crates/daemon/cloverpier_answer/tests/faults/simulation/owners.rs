//! Events of engines, owners and holders of copies.

use super::*;

impl Simulation {
    pub(super) fn engine_generates(&mut self) {
        if self.generations.is_empty() {
            return;
        }
        let i = self.rng.usize(0..self.generations.len());
        let generation = &mut self.generations[i];
        let event = if generation.offset >= RESPONSE_TOKENS {
            Event::Finish(generation.attempt, generation.offset)
        } else {
            let text = token_text(generation.engine, generation.digest);
            let event = Event::Token(generation.attempt, generation.offset, Arc::clone(&text));
            generation.digest = generation.digest.push(&text);
            generation.offset += 1;
            event
        };
        let opened_by = generation.opened_by;
        self.deliver(opened_by, &event);
        // Sometimes another owner receives the message, too.
        if self.rng.u8(0..8) == 0 {
            let other = self.router();
            self.deliver(other, &event);
        }
    }

    pub(super) fn deliver(&mut self, to: usize, event: &Event) {
        if let Some(owner) = &mut self.owners[to] {
            owner.inbox.push(event.clone());
        }
    }

    pub(super) fn owner_receives(&mut self) {
        let i = self.router();
        let Some(owner) = &mut self.owners[i] else {
            return;
        };
        if owner.inbox.is_empty() {
            return;
        }
        // Mostly in order, sometimes reordered.
        let at = if self.rng.u8(0..40) == 0 {
            self.rng.usize(0..owner.inbox.len())
        } else {
            0
        };
        let is_repeated = self.rng.u8(0..10) == 0;
        let step = match owner.inbox.remove(at) {
            Event::Token(attempt, offset, text) => {
                if is_repeated {
                    owner.response.on_token(attempt, offset, Arc::clone(&text));
                }
                owner.response.on_token(attempt, offset, text)
            }
            Event::Finish(attempt, at) => owner.response.on_finish(attempt, at, FinishReason::Stop),
        };
        if step == TokenOutcome::Gap {
            self.start_attempt(i);
        }
    }

    pub(super) fn start_attempt(&mut self, i: usize) {
        let Some(owner) = &mut self.owners[i] else {
            return;
        };
        if owner.response.is_taken_over() || owner.response.finish().is_some() {
            return;
        }
        let attempt = owner.response.open_attempt();
        self.generations.push(Generation {
            attempt,
            opened_by: i,
            engine: self.rng.u64(0..1_000),
            digest: owner.response.digest(),
            offset: owner.response.len(),
        });
    }

    pub(super) fn attempt_fails(&mut self) {
        let i = self.router();
        self.start_attempt(i);
    }

    pub(super) fn owner_sends_copy(&mut self) {
        let i = self.router();
        let other = (i + self.rng.usize(1..ROUTERS)) % ROUTERS;
        let name = self.member_id(i);
        let holder_name = self.names[other].clone();
        let Some(owner) = &mut self.owners[i] else {
            return;
        };
        if owner.copy.holder().is_none() {
            owner.copy.assign(Some(holder_name));
        }
        if owner.in_flight.is_none() && owner.copy.has_unsent(&owner.response) {
            let header = BatchHeader {
                body_digest: 7,
                source: None,
            };
            let batch = owner.copy.next_batch(&owner.response, &self.key, header);
            owner.in_flight = Some(batch);
            return;
        }
        let Some(batch) = owner.in_flight.take() else {
            return;
        };
        let holder = owner.copy.holder().cloned();
        let at = self.names.iter().position(|n| Some(n) == holder.as_ref());
        let reply = self.copies[at.unwrap_or(0)].append(&name, batch, self.now);
        owner.copy.on_reply(&mut owner.response, reply);
    }

    /// No reply arrives: the owner chooses another holder, and the batch may still arrive later.
    pub(super) fn batch_times_out(&mut self) {
        let i = self.router();
        let name = self.member_id(i);
        let Some(owner) = &mut self.owners[i] else {
            return;
        };
        let holder = owner.copy.holder().cloned();
        let at = self.names.iter().position(|n| Some(n) == holder.as_ref());
        if let (Some(batch), Some(at)) = (owner.in_flight.take(), at) {
            self.delayed.push((at, name, batch));
        }
        owner.copy.assign(None);
    }

    pub(super) fn delayed_batch_arrives(&mut self) {
        if self.delayed.is_empty() {
            return;
        }
        let i = self.rng.usize(0..self.delayed.len());
        let (at, owner, batch) = self.delayed.swap_remove(i);
        self.copies[at].append(&owner, batch, self.now);
    }

    pub(super) fn owner_crashes(&mut self) {
        let i = self.router();
        self.owners[i] = None;
        self.restarts[i] += 1;
        self.lose_copies(i);
    }

    pub(super) fn lose_copies(&mut self, i: usize) {
        if !self.copies_survive {
            self.copies[i] = ResponseCopies::default();
        }
    }

    pub(super) fn holder_crashes(&mut self) {
        let i = self.router();
        self.lose_copies(i);
    }
}
