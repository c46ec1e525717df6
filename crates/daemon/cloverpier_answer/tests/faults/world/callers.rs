//! What the caller does, and takeovers on its behalf.

use super::*;

impl World {
    pub(super) fn client_reads(&mut self) {
        let Some(at) = self.client.at else {
            return self.client_reconnects();
        };
        let Some(owner) = &self.owners[at] else {
            self.client.at = None;
            return;
        };
        let from = self.client.tokens.len() as u64;
        let new: Vec<Arc<str>> = owner.answer.released_from(from).to_vec();
        if !new.is_empty() {
            self.client.tokens.extend(new);
            self.client.holder = owner.copy.holder().cloned().or(self.client.holder.take());
            return;
        }
        let finish = owner.answer.released_finish();
        if let Some(finish) = finish.filter(|f| f.tokens == from) {
            assert_eq!(
                finish.chain,
                TokenDigest::of_tokens(self.client.tokens.iter().map(|t| &**t))
            );
            self.client.done = true;
            self.finished += 1;
        }
        if owner.answer.is_taken_over() {
            self.client.at = None;
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
        let chain = TokenDigest::of_tokens(self.client.tokens.iter().map(|t| &**t));
        let resume = owner
            .answer
            .resume_at(self.client.tokens.len() as u64, chain);
        if self.copies_last {
            assert!(matches!(resume, Resume::From(_)), "{resume:?}");
        }
        // Behind or diverged: the caller is refused and keeps what it has.
        self.client.at = matches!(resume, Resume::From(_)).then_some(i);
    }

    /// An owner to which a caller comes back asks whether it is one still.
    pub(super) fn still_owns(&mut self, i: usize) -> bool {
        let name = self.run_of(i);
        let Some(owner) = &mut self.owners[i] else {
            return false;
        };
        let term = owner.answer.term();
        for copies in &mut self.copies {
            let reply = copies.seal(&self.key, term, &name, self.now);
            if matches!(reply, SealReply::Refused { .. }) {
                owner.answer.on_taken_over();
            }
        }
        !owner.answer.is_taken_over()
    }

    /// As a router does it: ask the holders, some of which don't answer.
    pub(super) fn take_over(&mut self, i: usize) -> bool {
        let mut takeover = Takeover::new();
        let mut step = takeover.start();
        let name = self.run_of(i);
        let deaf = self.rng.usize(0..ROUTERS * 3);
        loop {
            match step {
                TakeoverStep::Seal { term } => {
                    let replies = (0..ROUTERS).map(|h| {
                        let reply = self.copies[h].seal(&self.key, term, &name, self.now);
                        (h != deaf || self.copies_last).then_some(reply)
                    });
                    let replies = replies.collect();
                    step = takeover.on_replies(replies);
                }
                TakeoverStep::Contended => return false,
                TakeoverStep::Own { term, held, .. } => {
                    if held.is_none() && !self.client.tokens.is_empty() {
                        return false;
                    }
                    self.openers += 1;
                    let answer = match held {
                        Some(h) => Answer::resumed(term, self.openers, h.tokens, h.finish),
                        None => Answer::fresh(term, self.openers),
                    };
                    self.owners[i] = Some(Owner {
                        answer,
                        copy: Shipping::default(),
                        under_way: None,
                        inbox: Vec::new(),
                    });
                    self.start_attempt(i);
                    return true;
                }
            }
        }
    }
}
