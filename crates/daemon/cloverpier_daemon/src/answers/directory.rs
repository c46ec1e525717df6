//! Where copies are: soft notes at a few members chosen by the request's key.
//!
//! Owns the notes that this member keeps for others; a lost one costs a search at the other
//! members, never safety.

use cloverpier_core::{MemberId, RequestKey, hash_of, rendezvous_rank};
use cloverpier_member::MemberList;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Members that keep the note of a request's copy, so that one may die.
const NOTED_AT: usize = 2;
/// Members that are asked; more than keep the note, as lists of members differ for a while.
const ASKED: usize = 3;
/// How long a note is kept: longer than any copy (`Retention`, 600 s).
const KEPT: Duration = Duration::from_secs(900);

#[derive(Clone, Debug)]
struct Noted {
    holder: MemberId,
    at: Instant,
}

/// Notes that a member keeps for others.
#[derive(Debug, Default)]
pub struct Directory {
    notes: HashMap<RequestKey, Noted>,
}

impl Directory {
    /// Notes where a copy is; a later note replaces an earlier one.
    pub fn note(&mut self, key: RequestKey, holder: MemberId, now: Instant) {
        self.notes.insert(key, Noted { holder, at: now });
    }

    /// Where a copy is.
    pub fn holder(&self, key: &RequestKey) -> Option<MemberId> {
        self.notes.get(key).map(|n| n.holder.clone())
    }

    /// Drops old notes.
    pub fn sweep(&mut self, now: Instant) {
        self.notes
            .retain(|_, n| now.saturating_duration_since(n.at) < KEPT);
    }

    /// Notes kept.
    pub fn len(&self) -> usize {
        self.notes.len()
    }

    /// Whether no note is kept.
    pub fn is_empty(&self) -> bool {
        self.notes.is_empty()
    }
}

fn ranked(list: &MemberList, key: &RequestKey, count: usize) -> Vec<MemberId> {
    let ranked = rendezvous_rank(hash_of(key.as_str()), &list.members, |m| m.id.as_str());
    ranked
        .into_iter()
        .take(count)
        .map(|m| m.id.clone())
        .collect()
}

/// Members that are notified of where a copy is.
pub fn noted_at(list: &MemberList, key: &RequestKey) -> Vec<MemberId> {
    ranked(list, key, NOTED_AT)
}

/// Members to ask where a copy is.
pub fn asked(list: &MemberList, key: &RequestKey) -> Vec<MemberId> {
    ranked(list, key, ASKED)
}
