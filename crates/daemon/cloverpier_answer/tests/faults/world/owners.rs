//! What engines, owners and holders of copies do, and what befalls them.

use super::*;

impl World {
    pub(super) fn engine_speaks(&mut self) {
        if self.generations.is_empty() {
            return;
        }
        let i = self.rng.usize(0..self.generations.len());
        let generation = &mut self.generations[i];
        let event = if generation.offset >= LENGTH {
            Event::Finish(generation.attempt, generation.offset)
        } else {
            let text = say(generation.engine, generation.chain);
            let event = Event::Token(generation.attempt, generation.offset, Arc::clone(&text));
            generation.chain = generation.chain.push(&text);
            generation.offset += 1;
            event
        };
        let asked_by = generation.asked_by;
        self.deliver(asked_by, &event);
        // Streams cross: an owner that never asked for it may get it, too.
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

    pub(super) fn owner_listens(&mut self) {
        let i = self.router();
        let Some(owner) = &mut self.owners[i] else {
            return;
        };
        if owner.inbox.is_empty() {
            return;
        }
        // Mostly in order, at times crossed.
        let at = if self.rng.u8(0..40) == 0 {
            self.rng.usize(0..owner.inbox.len())
        } else {
            0
        };
        let again = self.rng.u8(0..10) == 0;
        let step = match owner.inbox.remove(at) {
            Event::Token(attempt, offset, text) => {
                if again {
                    owner.answer.on_token(attempt, offset, Arc::clone(&text));
                }
                owner.answer.on_token(attempt, offset, text)
            }
            Event::Finish(attempt, at) => owner.answer.on_finish(attempt, at, FinishReason::Stop),
        };
        if step == TokenStep::Gap {
            self.start_attempt(i);
        }
    }

    pub(super) fn start_attempt(&mut self, i: usize) {
        let Some(owner) = &mut self.owners[i] else {
            return;
        };
        if owner.answer.is_taken_over() || owner.answer.finish().is_some() {
            return;
        }
        let attempt = owner.answer.open_attempt();
        self.generations.push(Generation {
            attempt,
            asked_by: i,
            engine: self.rng.u64(0..1_000),
            chain: owner.answer.chain(),
            offset: owner.answer.len(),
        });
    }

    pub(super) fn attempt_fails(&mut self) {
        let i = self.router();
        self.start_attempt(i);
    }

    pub(super) fn owner_ships(&mut self) {
        let i = self.router();
        let other = (i + self.rng.usize(1..ROUTERS)) % ROUTERS;
        let name = self.run_of(i);
        let holder_name = self.names[other].clone();
        let Some(owner) = &mut self.owners[i] else {
            return;
        };
        if owner.copy.holder().is_none() {
            owner.copy.assign(Some(holder_name));
        }
        if owner.under_way.is_none() && owner.copy.has_news(&owner.answer) {
            let head = EntryHead {
                body: 7,
                source: None,
            };
            let entry = owner.copy.next_entry(&owner.answer, &self.key, head);
            owner.under_way = Some(entry);
            return;
        }
        let Some(entry) = owner.under_way.take() else {
            return;
        };
        let holder = owner.copy.holder().cloned();
        let at = self.names.iter().position(|n| Some(n) == holder.as_ref());
        let reply = self.copies[at.unwrap_or(0)].append(&name, entry, self.now);
        owner.copy.on_reply(&mut owner.answer, reply);
    }

    /// No reply came: the owner takes another holder, and the batch may arrive later.
    pub(super) fn batch_is_given_up(&mut self) {
        let i = self.router();
        let name = self.run_of(i);
        let Some(owner) = &mut self.owners[i] else {
            return;
        };
        let holder = owner.copy.holder().cloned();
        let at = self.names.iter().position(|n| Some(n) == holder.as_ref());
        if let (Some(entry), Some(at)) = (owner.under_way.take(), at) {
            self.late.push((at, name, entry));
        }
        owner.copy.assign(None);
    }

    pub(super) fn late_batch_arrives(&mut self) {
        if self.late.is_empty() {
            return;
        }
        let i = self.rng.usize(0..self.late.len());
        let (at, owner, entry) = self.late.swap_remove(i);
        self.copies[at].append(&owner, entry, self.now);
    }

    pub(super) fn owner_dies(&mut self) {
        let i = self.router();
        self.owners[i] = None;
        self.deaths[i] += 1;
        self.lose_copies(i);
    }

    pub(super) fn lose_copies(&mut self, i: usize) {
        if !self.copies_last {
            self.copies[i] = Copies::default();
        }
    }

    pub(super) fn holder_dies(&mut self) {
        let i = self.router();
        self.lose_copies(i);
    }
}
