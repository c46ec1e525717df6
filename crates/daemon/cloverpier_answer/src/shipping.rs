//! The owner's side of copying: what the holder has, and what it needs next.
//!
//! Owns which member holds the copy and how far it has it. At most one batch is under way, so a
//! reply needs no number. Relies on the answer for what is new.

use crate::answer::Answer;
use crate::copies::{AppendReply, Entry, EntryHead};
use cloverpier_core::{MemberId, RequestKey};

/// What an owner does after a holder's reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShipStep {
    /// Nothing until there is something new.
    Rest,
    /// Send the next batch.
    Send,
    /// Another router has the answer.
    TakenOver,
}

/// The state of one answer's copy at its holder.
///
/// At most one batch is under way, so a reply always belongs to the holder
/// and the batch that it answers.
#[derive(Clone, Debug, Default)]
pub struct Shipping {
    holder: Option<MemberId>,
    sent: u64,
    finish_sent: bool,
    head_sent: Option<EntryHead>,
}

impl Shipping {
    /// The holder.
    pub fn holder(&self) -> Option<&MemberId> {
        self.holder.as_ref()
    }

    /// Begins with another holder, which will be given the whole prefix.
    pub fn assign(&mut self, holder: Option<MemberId>) {
        *self = Self {
            holder,
            ..Self::default()
        };
    }

    /// Whether the holder lacks something.
    pub fn has_news(&self, answer: &Answer) -> bool {
        let tokens = self.sent < answer.len();
        let finish = answer.finish().is_some() && !self.finish_sent;
        tokens || finish
    }

    /// The next batch.
    pub fn next_entry(&mut self, answer: &Answer, key: &RequestKey, head: EntryHead) -> Entry {
        let offset = self.sent;
        let finish = answer.finish();
        self.sent = answer.len();
        self.finish_sent = finish.is_some();
        let known = self.head_sent.as_ref() == Some(&head);
        if !known {
            self.head_sent = Some(head.clone());
        }
        Entry {
            key: key.clone(),
            term: answer.term(),
            head: (!known).then_some(head),
            offset,
            tokens: answer.tokens_from(offset).to_vec(),
            finish,
        }
    }

    /// Takes the holder's reply to the last batch.
    pub fn on_reply(&mut self, answer: &mut Answer, reply: AppendReply) -> ShipStep {
        match reply {
            AppendReply::Held { tokens, finished } => {
                answer.on_copied(tokens);
                if finished {
                    answer.on_finish_copied();
                }
            }
            AppendReply::Gap { tokens } => {
                self.sent = tokens;
                self.finish_sent = false;
                self.head_sent = None;
            }
            AppendReply::Sealed { .. } => {
                answer.on_taken_over();
                return ShipStep::TakenOver;
            }
        }
        if self.has_news(answer) {
            ShipStep::Send
        } else {
            ShipStep::Rest
        }
    }
}
