//! The peer's side: copies of answers, and the fence against earlier owners.
//!
//! Question: does this batch belong to the owner whose term holds? Owns the copies that a member
//! keeps for others, and the highest term sealed of each: batches of lower terms are refused,
//! which is what stops an owner that does not know that it lost the answer.

use crate::answer::{AttemptId, Finish};
use cloverpier_core::{MemberId, RequestKey, UpstreamName};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The engine and the attempt that the last tokens came from.
///
/// A router that takes an answer over asks that engine to send on before it
/// pays for a second prefill.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Source {
    /// The engine.
    pub upstream: UpstreamName,
    /// The attempt that it runs.
    pub attempt: AttemptId,
}

/// What a holder has to know of an answer besides its tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHead {
    /// Digest of the request's body, so that a key isn't used for two requests.
    #[serde(rename = "b")]
    pub body: u64,
    /// Where the tokens come from.
    #[serde(rename = "s")]
    pub source: Option<Source>,
}

/// A batch of tokens of one answer, from its owner to a holder.
///
/// Most hold one token, so the names on the wire are short, and what doesn't
/// change is sent once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The request.
    #[serde(rename = "k")]
    pub key: RequestKey,
    /// The owner's term.
    #[serde(rename = "t")]
    pub term: u64,
    /// Sent with the first batch to a holder and whenever it has changed.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub head: Option<EntryHead>,
    /// Offset of the first token of the batch.
    #[serde(rename = "o")]
    pub offset: u64,
    /// The tokens.
    #[serde(rename = "x")]
    pub tokens: Vec<Arc<str>>,
    /// The end, when the batch reaches it.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub finish: Option<Finish>,
}

/// What a holder answers to a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendReply {
    /// The holder has this many tokens of the owner's answer.
    Held {
        /// Tokens held.
        tokens: u64,
        /// Whether the end is held, too.
        finished: bool,
    },
    /// The holder lacks tokens before the batch; send from this offset.
    Gap {
        /// Tokens held.
        tokens: u64,
    },
    /// Another owner has the answer.
    Sealed {
        /// The term that holds now.
        term: u64,
    },
}

/// A copy as it is handed to a router that takes the answer over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldAnswer {
    /// The term of the owner that sent the tokens.
    pub term: u64,
    /// That owner.
    pub owner: MemberId,
    /// Digest of the request's body.
    pub body: u64,
    /// Where the last tokens came from.
    pub source: Option<Source>,
    /// The tokens from the beginning.
    pub tokens: Vec<Arc<str>>,
    /// The end, when it is held.
    pub finish: Option<Finish>,
}

/// What a holder answers to a router that wants to take an answer over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SealReply {
    /// The term is sealed: owners of lower terms are refused from now on.
    Sealed {
        /// The copy, when there is one.
        held: Option<HeldAnswer>,
    },
    /// A term at least as high is sealed already.
    Refused {
        /// The term that holds now.
        term: u64,
    },
}

/// How long copies are kept.
#[derive(Clone, Copy, Debug)]
pub struct Retention {
    /// How long after its end an answer stays available to a caller that asks again.
    pub finished: Duration,
    /// How long an answer stays that got no token and no owner.
    pub unfinished: Duration,
}

/// How long an ended answer stays: a caller that lost its connection resumes well before.
const KEEP_FINISHED: Duration = Duration::from_secs(120);
/// How long an answer without an owner stays: as long as records do by default.
const KEEP_UNFINISHED: Duration = Duration::from_secs(600);

impl Default for Retention {
    fn default() -> Self {
        Self {
            finished: KEEP_FINISHED,
            unfinished: KEEP_UNFINISHED,
        }
    }
}

#[derive(Debug)]
struct Copy {
    /// The lowest term that may still write, and the owner that it is bound to.
    fence: u64,
    fence_owner: MemberId,
    held: Option<HeldAnswer>,
    touched: Instant,
}

/// All copies that a member holds for others.
#[derive(Debug, Default)]
pub struct Copies {
    by_key: HashMap<RequestKey, Copy>,
}

impl Copies {
    /// Takes a batch from an owner.
    ///
    /// A term belongs to the first owner that uses it here; a second owner of
    /// the same term is refused, so that two routers that start the same
    /// request at once can't both release tokens.
    pub fn append(&mut self, owner: &MemberId, entry: Entry, now: Instant) -> AppendReply {
        let copy = self
            .by_key
            .entry(entry.key.clone())
            .or_insert_with(|| Copy {
                fence: entry.term,
                fence_owner: owner.clone(),
                held: None,
                touched: now,
            });
        if entry.term < copy.fence || (entry.term == copy.fence && *owner != copy.fence_owner) {
            return AppendReply::Sealed { term: copy.fence };
        }
        copy.fence = entry.term;
        copy.fence_owner = owner.clone();
        copy.touched = now;
        write(&mut copy.held, owner, entry)
    }

    /// Seals all terms below the given one and hands out what is held.
    ///
    /// The fence stands also where nothing is held, so that an earlier owner
    /// that looks for another holder can't go on here. An owner that seals
    /// its own term again learns whether it still is the owner.
    pub fn seal(
        &mut self,
        key: &RequestKey,
        term: u64,
        owner: &MemberId,
        now: Instant,
    ) -> SealReply {
        let copy = self.by_key.entry(key.clone()).or_insert_with(|| Copy {
            fence: term,
            fence_owner: owner.clone(),
            held: None,
            touched: now,
        });
        let own = term == copy.fence && *owner == copy.fence_owner;
        if term < copy.fence || (term == copy.fence && !own) {
            return SealReply::Refused { term: copy.fence };
        }
        copy.fence = term;
        copy.fence_owner = owner.clone();
        copy.touched = now;
        SealReply::Sealed {
            held: copy.held.clone(),
        }
    }

    /// Whether tokens of a request are held here.
    pub fn holds(&self, key: &RequestKey) -> bool {
        self.by_key.get(key).is_some_and(|c| c.held.is_some())
    }

    /// Drops what has outlived its retention.
    pub fn sweep(&mut self, now: Instant, keep: Retention) {
        self.by_key.retain(|_, copy| {
            let finished = copy.held.as_ref().is_some_and(|h| h.finish.is_some());
            let limit = if finished {
                keep.finished
            } else {
                keep.unfinished
            };
            now.saturating_duration_since(copy.touched) < limit
        });
    }

    /// Copies held.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Tokens held in all copies.
    pub fn tokens(&self) -> usize {
        let held = self.by_key.values().filter_map(|c| c.held.as_ref());
        held.map(|h| h.tokens.len()).sum()
    }
}

/// Writes a batch whose term the fence has let through.
fn write(held: &mut Option<HeldAnswer>, owner: &MemberId, entry: Entry) -> AppendReply {
    let same_term = held.as_ref().is_some_and(|h| h.term == entry.term);
    if !same_term {
        // The first batch of a term carries the whole prefix: tokens of an
        // earlier owner are never joined with those of a later one.
        let Some(head) = entry.head.as_ref().filter(|_| entry.offset == 0) else {
            return AppendReply::Gap { tokens: 0 };
        };
        *held = Some(HeldAnswer {
            term: entry.term,
            owner: owner.clone(),
            body: head.body,
            source: None,
            tokens: Vec::new(),
            finish: None,
        });
    }
    let Some(copy) = held.as_mut() else {
        return AppendReply::Gap { tokens: 0 };
    };
    let known = copy.tokens.len() as u64;
    if entry.offset > known {
        return AppendReply::Gap { tokens: known };
    }
    // Too many to count are all of them.
    let skip = usize::try_from(known - entry.offset).unwrap_or(usize::MAX);
    copy.tokens.extend(entry.tokens.into_iter().skip(skip));
    if let Some(head) = entry.head {
        copy.source = head.source.or(copy.source.take());
    }
    copy.finish = copy.finish.or(entry.finish);
    AppendReply::Held {
        tokens: copy.tokens.len() as u64,
        finished: copy.finish.is_some(),
    }
}
