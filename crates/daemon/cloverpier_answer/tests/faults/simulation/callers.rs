//! Events of the caller, and takeovers that they cause.

use super::*;

impl Simulation {
    pub(super) fn client_reads(&mut self) {
        let Some(at) = self.client.owner else {
            return self.client_reconnects();
        };
        let Some(owner) = &self.owners[at] else {
            self.client.owner = None;
            return;
        };
        let from = self.client.tokens.len() as u64;
        let new: Vec<Arc<str>> = owner.response.released_from(from).to_vec();
        if !new.is_empty() {
            self.client.tokens.extend(new);
            self.client.holder = owner.copy.holder().cloned().or(self.client.holder.take());
            return;
        }
        let finish = owner.response.released_finish();
        if let Some(finish) = finish.filter(|f| f.tokens == from) {
            assert_eq!(
                finish.chain,
                TokenDigest::of_tokens(self.client.tokens.iter().map(|t| &**t))
            );
            self.client.done = true;
            self.finished += 1;
        }
        if owner.response.is_taken_over() {
            self.client.owner = None;
        }
    }

    pub(super) fn client_reconnects(&mut self) {
        let i = self.router();
        if !self.still_owns(i) && !self.take_over(i) {
            return;
        }
        let Some(owner) = &self.owners[i] else {
            return;
        };
        let digest = TokenDigest::of_tokens(self.client.tokens.iter().map(|t| &**t));
        let resume = owner
            .response
            .resume_at(self.client.tokens.len() as u64, digest);
        if self.copies_survive {
            assert!(matches!(resume, ResumePoint::From(_)), "{resume:?}");
        }
        // The caller is refused if its tokens are unknown here or differ. It keeps its tokens.
        self.client.owner = matches!(resume, ResumePoint::From(_)).then_some(i);
    }

    /// Seals the owner's term again at all holders, to check whether the router still owns the
    /// response.
    pub(super) fn still_owns(&mut self, i: usize) -> bool {
        let name = self.member_id(i);
        let Some(owner) = &mut self.owners[i] else {
            return false;
        };
        let term = owner.response.term();
        for copies in &mut self.copies {
            let reply = copies.seal(&self.key, term, &name, self.now);
            if matches!(reply, SealReply::Refused { .. }) {
                owner.response.on_taken_over();
            }
        }
        !owner.response.is_taken_over()
    }

    /// Takes over the response as a router does. At most one random holder does not reply.
    pub(super) fn take_over(&mut self, i: usize) -> bool {
        let mut takeover = Takeover::new();
        let mut step = takeover.start();
        let name = self.member_id(i);
        let unresponsive = self.rng.usize(0..ROUTERS * 3);
        loop {
            match step {
                TakeoverStep::Seal { term } => {
                    let replies = (0..ROUTERS).map(|h| {
                        let reply = self.copies[h].seal(&self.key, term, &name, self.now);
                        (h != unresponsive || self.copies_survive).then_some(reply)
                    });
                    let replies = replies.collect();
                    step = takeover.on_replies(replies);
                }
                TakeoverStep::Contended => return false,
                TakeoverStep::Own { term, held, .. } => {
                    if held.is_none() && !self.client.tokens.is_empty() {
                        return false;
                    }
                    self.last_opener += 1;
                    let response = match held {
                        Some(h) => {
                            OwnedResponse::resumed(term, self.last_opener, h.tokens, h.finish)
                        }
                        None => OwnedResponse::new(term, self.last_opener),
                    };
                    self.owners[i] = Some(Owner {
                        response,
                        copy: CopyProgress::default(),
                        in_flight: None,
                        inbox: Vec::new(),
                    });
                    self.start_attempt(i);
                    return true;
                }
            }
        }
    }
}
