//! Copies of responses that a member holds for the routers that own them.
//!
//! A member stores the highest term that was sealed for each response, and refuses batches of lower
//! terms. This fences off an earlier owner that is not aware of a takeover: without a copy, it
//! cannot release tokens. Copies are kept in memory only.

use crate::response::{AttemptId, Finish};
use cloverpier_core::{MemberId, RequestKey, UpstreamName};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The engine and the attempt that generated the last tokens.
///
/// A router that takes over the response first requests the rest of this attempt from the engine,
/// which avoids a second prefill.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenSource {
    /// The engine.
    pub upstream: UpstreamName,
    /// The attempt at that engine.
    pub attempt: AttemptId,
}

/// The data of a response, apart from its tokens, that a takeover requires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchHeader {
    /// Digest of the request body, to detect a key that is used for two different requests.
    #[serde(rename = "b")]
    pub body_digest: u64,
    /// The engine that generates the tokens; `None` if unknown.
    #[serde(rename = "s")]
    pub source: Option<TokenSource>,
}

/// A batch of new tokens of one response, which its owner sends to the holder of the copy.
///
/// Most batches contain one token. The names on the wire are therefore short, and the header is
/// sent only once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenBatch {
    /// The key of the request.
    #[serde(rename = "k")]
    pub key: RequestKey,
    /// The term of the owner.
    #[serde(rename = "t")]
    pub term: u64,
    /// Included in the first batch to a holder, after a gap, and when the header has changed;
    /// otherwise `None`.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub header: Option<BatchHeader>,
    /// The number of tokens of the response before this batch.
    #[serde(rename = "o")]
    pub offset: u64,
    /// The tokens; may be empty if only the end is new.
    #[serde(rename = "x")]
    pub tokens: Vec<Arc<str>>,
    /// The end of the response, if the generation has finished.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub finish: Option<Finish>,
}

/// The reply of a holder to a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendReply {
    /// The batch was stored.
    Held {
        /// The number of tokens in the copy.
        tokens: u64,
        /// Whether the copy contains the end of the response.
        finished: bool,
    },
    /// The batch was not stored, as tokens before it or its header are missing. The owner has to
    /// send all from this offset again.
    Gap {
        /// The number of tokens in the copy of this term.
        tokens: u64,
    },
    /// The batch was refused, as another owner has sealed the response.
    Sealed {
        /// The highest term of an owner at this holder.
        term: u64,
    },
}

/// A copy of a response, which a router that takes over the response continues.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseCopy {
    /// The term of the owner that sent the tokens.
    pub term: u64,
    /// The owner that sent the tokens.
    pub owner: MemberId,
    /// Digest of the request body.
    #[serde(rename = "body")]
    pub body_digest: u64,
    /// The engine that generated the last tokens; `None` if unknown.
    pub source: Option<TokenSource>,
    /// All tokens from the first one on.
    pub tokens: Vec<Arc<str>>,
    /// The end of the response; `None` if the copy does not contain it.
    pub finish: Option<Finish>,
}

/// The reply of a holder to a router that takes over a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SealReply {
    /// The term is sealed: batches and seals of lower terms are refused from now on.
    Sealed {
        /// The holder's copy; `None` if it has none.
        held: Option<ResponseCopy>,
    },
    /// Another owner has sealed this term or a higher one.
    Refused {
        /// The highest term of an owner at this holder.
        term: u64,
    },
}

/// How long copies are kept after their last use.
#[derive(Clone, Copy, Debug)]
pub struct Retention {
    /// Time for a copy that contains the end of the response, for callers that repeat the request.
    pub finished: Duration,
    /// Time for a copy without the end, and for a seal without a copy.
    pub unfinished: Duration,
}

/// How long the copy of a finished response is kept: longer than a caller needs to reconnect and
/// resume after a connection failure.
const FINISHED_RETENTION: Duration = Duration::from_secs(120);
/// How long the copy of an unfinished response is kept: the same as the default retention of
/// request records.
const UNFINISHED_RETENTION: Duration = Duration::from_secs(600);

impl Default for Retention {
    fn default() -> Self {
        Self {
            finished: FINISHED_RETENTION,
            unfinished: UNFINISHED_RETENTION,
        }
    }
}

#[derive(Debug)]
struct CopyState {
    /// The lowest term that may append, and the only owner that may do so in this term.
    fence_term: u64,
    fence_owner: MemberId,
    held: Option<ResponseCopy>,
    last_used_at: Instant,
}

/// All copies that a member holds for other routers.
#[derive(Debug, Default)]
pub struct ResponseCopies {
    by_key: HashMap<RequestKey, CopyState>,
}

impl ResponseCopies {
    /// Stores a batch of an owner.
    ///
    /// At each holder, a term belongs to the first owner that uses it. A second owner of the same
    /// term is refused, so two routers that start the same request at once can't both release
    /// tokens.
    pub fn append(&mut self, owner: &MemberId, batch: TokenBatch, now: Instant) -> AppendReply {
        let copy = self
            .by_key
            .entry(batch.key.clone())
            .or_insert_with(|| CopyState {
                fence_term: batch.term,
                fence_owner: owner.clone(),
                held: None,
                last_used_at: now,
            });
        if batch.term < copy.fence_term
            || (batch.term == copy.fence_term && *owner != copy.fence_owner)
        {
            return AppendReply::Sealed {
                term: copy.fence_term,
            };
        }
        copy.fence_term = batch.term;
        copy.fence_owner = owner.clone();
        copy.last_used_at = now;
        append_batch(&mut copy.held, owner, batch)
    }

    /// Seals all terms below `term`, and returns the copy.
    ///
    /// The seal is kept even if there is no copy, so that an earlier owner cannot choose this
    /// holder for a new copy. Sealing its own term again is how an owner checks that it still owns
    /// the response.
    pub fn seal(
        &mut self,
        key: &RequestKey,
        term: u64,
        owner: &MemberId,
        now: Instant,
    ) -> SealReply {
        let copy = self.by_key.entry(key.clone()).or_insert_with(|| CopyState {
            fence_term: term,
            fence_owner: owner.clone(),
            held: None,
            last_used_at: now,
        });
        let is_current_owner = term == copy.fence_term && *owner == copy.fence_owner;
        if term < copy.fence_term || (term == copy.fence_term && !is_current_owner) {
            return SealReply::Refused {
                term: copy.fence_term,
            };
        }
        copy.fence_term = term;
        copy.fence_owner = owner.clone();
        copy.last_used_at = now;
        SealReply::Sealed {
            held: copy.held.clone(),
        }
    }

    /// Whether there is a copy of the response to a request.
    pub fn holds(&self, key: &RequestKey) -> bool {
        self.by_key.get(key).is_some_and(|c| c.held.is_some())
    }

    /// Removes copies and seals that were not used for the retention time.
    pub fn sweep(&mut self, now: Instant, retention: Retention) {
        self.by_key.retain(|_, copy| {
            let finished = copy.held.as_ref().is_some_and(|h| h.finish.is_some());
            let limit = if finished {
                retention.finished
            } else {
                retention.unfinished
            };
            now.saturating_duration_since(copy.last_used_at) < limit
        });
    }

    /// The number of copies and seals.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether there is no copy and no seal.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// The number of tokens in all copies.
    pub fn tokens(&self) -> usize {
        let held = self.by_key.values().filter_map(|c| c.held.as_ref());
        held.map(|h| h.tokens.len()).sum()
    }
}

/// Stores a batch whose term is not fenced off.
fn append_batch(
    held: &mut Option<ResponseCopy>,
    owner: &MemberId,
    batch: TokenBatch,
) -> AppendReply {
    let same_term = held.as_ref().is_some_and(|h| h.term == batch.term);
    if !same_term {
        // The first batch of a term must contain the whole prefix, so that tokens of an earlier
        // owner are never combined with those of a later one.
        let Some(header) = batch.header.as_ref().filter(|_| batch.offset == 0) else {
            return AppendReply::Gap { tokens: 0 };
        };
        *held = Some(ResponseCopy {
            term: batch.term,
            owner: owner.clone(),
            body_digest: header.body_digest,
            source: None,
            tokens: Vec::new(),
            finish: None,
        });
    }
    let Some(copy) = held.as_mut() else {
        return AppendReply::Gap { tokens: 0 };
    };
    let held_tokens = copy.tokens.len() as u64;
    if batch.offset > held_tokens {
        return AppendReply::Gap {
            tokens: held_tokens,
        };
    }
    // A number that does not fit exceeds the length of any batch.
    let skip = usize::try_from(held_tokens - batch.offset).unwrap_or(usize::MAX);
    copy.tokens.extend(batch.tokens.into_iter().skip(skip));
    if let Some(header) = batch.header {
        copy.source = header.source.or(copy.source.take());
    }
    copy.finish = copy.finish.or(batch.finish);
    AppendReply::Held {
        tokens: copy.tokens.len() as u64,
        finished: copy.finish.is_some(),
    }
}
