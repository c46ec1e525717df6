//! The owner's record of what the holder of a response's copy has received.
//!
//! The caller sends the batches, at most one at a time, so that a reply always belongs to the last
//! batch and needs no sequence number.

use crate::copies::{AppendReply, BatchHeader, TokenBatch};
use crate::response::OwnedResponse;
use cloverpier_core::{MemberId, RequestKey};

/// The next action of the owner after a reply of the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyStep {
    /// Wait until the response has new tokens.
    Idle,
    /// Send the next batch.
    Send,
    /// Stop: another router has taken over the response.
    TakenOver,
}

/// The part of a response that was sent to the holder of its copy.
///
/// At most one batch may be in flight, so that a reply always belongs to the last batch and to the
/// current holder.
#[derive(Clone, Debug, Default)]
pub struct CopyProgress {
    holder: Option<MemberId>,
    sent_tokens: u64,
    finish_sent: bool,
    sent_header: Option<BatchHeader>,
}

impl CopyProgress {
    /// The member that holds the copy; `None` if none is assigned.
    pub fn holder(&self) -> Option<&MemberId> {
        self.holder.as_ref()
    }

    /// Assigns another holder, which gets all tokens from the first one on.
    pub fn assign(&mut self, holder: Option<MemberId>) {
        *self = Self {
            holder,
            ..Self::default()
        };
    }

    /// Whether the response has tokens or an end that were not sent to the holder.
    pub fn has_unsent(&self, response: &OwnedResponse) -> bool {
        let tokens = self.sent_tokens < response.len();
        let finish = response.finish().is_some() && !self.finish_sent;
        tokens || finish
    }

    /// The next batch for the holder: all tokens that were not sent yet. They count as sent from
    /// then on.
    pub fn next_batch(
        &mut self,
        response: &OwnedResponse,
        key: &RequestKey,
        header: BatchHeader,
    ) -> TokenBatch {
        let offset = self.sent_tokens;
        let finish = response.finish();
        self.sent_tokens = response.len();
        self.finish_sent = finish.is_some();
        let holder_has_header = self.sent_header.as_ref() == Some(&header);
        if !holder_has_header {
            self.sent_header = Some(header.clone());
        }
        TokenBatch {
            key: key.clone(),
            term: response.term(),
            header: (!holder_has_header).then_some(header),
            offset,
            tokens: response.tokens_from(offset).to_vec(),
            finish,
        }
    }

    /// Processes the reply of the holder to the last batch.
    pub fn on_reply(&mut self, response: &mut OwnedResponse, reply: AppendReply) -> CopyStep {
        match reply {
            AppendReply::Held { tokens, finished } => {
                response.on_copied(tokens);
                if finished {
                    response.on_finish_copied();
                }
            }
            AppendReply::Gap { tokens } => {
                self.sent_tokens = tokens;
                self.finish_sent = false;
                self.sent_header = None;
            }
            AppendReply::Sealed { .. } => {
                response.on_taken_over();
                return CopyStep::TakenOver;
            }
        }
        if self.has_unsent(response) {
            CopyStep::Send
        } else {
            CopyStep::Idle
        }
    }
}
