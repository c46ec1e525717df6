//! The list of members and its epochs.
//!
//! Stored at the platform as one object. Each change begins an epoch; the last ones are kept,
//! since records are learned from members of former epochs.

use cloverpier_core::{DataCentre, MemberId, VmName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// One run of a router process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Names the run; a restarted process has another one.
    pub id: MemberId,
    /// Its VM.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where peers and operators reach it.
    pub peers_at: SocketAddr,
    /// Where callers reach it.
    pub callers_at: SocketAddr,
    /// Whether its address is still handed out to callers.
    #[serde(default)]
    pub stopping: bool,
}

impl Member {
    /// A member that takes callers; `incarnation` is when the process started.
    pub fn new(
        vm: &str,
        incarnation: u64,
        data_centre: &str,
        peers_at: SocketAddr,
        callers_at: SocketAddr,
    ) -> Self {
        Self {
            id: MemberId::new(format!("{vm}~{incarnation}")),
            vm: vm.into(),
            data_centre: data_centre.into(),
            peers_at,
            callers_at,
            stopping: false,
        }
    }
}

/// What one epoch changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberChange {
    /// The epoch that the change began.
    pub epoch: u64,
    /// Members that were removed.
    pub left: Vec<Member>,
    /// Members that joined.
    pub joined: Vec<MemberId>,
    /// Members that began a planned stop.
    #[serde(default)]
    pub stopping: Vec<MemberId>,
}

/// The members of an epoch and how they came about.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberList {
    /// Rises by one with each change.
    pub epoch: u64,
    /// Members in order of their names.
    pub members: Vec<Member>,
    /// The last changes, newest last.
    pub history: Vec<MemberChange>,
}

impl MemberList {
    /// Changes that a list remembers; slots are learned from as many epochs back. A start of
    /// all routers of a data centre at once must not make more.
    pub const HISTORY_KEPT: usize = 64;

    /// The list after a member joined.
    #[must_use]
    pub fn with_joined(&self, member: Member) -> Self {
        self.with_all_joined(vec![member])
    }

    /// The list after members joined, in one change however many there are.
    ///
    /// Earlier runs on the same VMs leave by it.
    #[must_use]
    pub fn with_all_joined(&self, joined: Vec<Member>) -> Self {
        let replaced = |m: &&Member| joined.iter().any(|j| j.vm == m.vm);
        let earlier = self.members.iter().filter(replaced);
        let left: BTreeSet<MemberId> = earlier.map(|m| m.id.clone()).collect();
        self.changed(&left, joined)
    }

    /// The list without some members; one change however many there are.
    #[must_use]
    pub fn without(&self, gone: &BTreeSet<MemberId>) -> Self {
        self.changed(gone, Vec::new())
    }

    fn changed(&self, gone: &BTreeSet<MemberId>, joined: Vec<Member>) -> Self {
        let is_gone = |m: &&Member| gone.contains(&m.id);
        let left: Vec<Member> = self.members.iter().filter(is_gone).cloned().collect();
        let mut members = self.members.clone();
        members.retain(|m| !gone.contains(&m.id));
        let change = MemberChange {
            epoch: self.epoch + 1,
            left,
            joined: joined.iter().map(|m| m.id.clone()).collect(),
            stopping: Vec::new(),
        };
        members.extend(joined);
        members.sort_by(|a, b| a.id.cmp(&b.id));
        let mut history = self.history.clone();
        history.push(change);
        let excess = history.len().saturating_sub(Self::HISTORY_KEPT);
        history.drain(..excess);
        Self {
            epoch: self.epoch + 1,
            members,
            history,
        }
    }

    /// The list with a member marked as stopping, in an epoch of its own.
    #[must_use]
    pub fn with_stopping(&self, id: &MemberId) -> Self {
        let mut next = self.changed(&BTreeSet::new(), Vec::new());
        for member in next.members.iter_mut().filter(|m| m.id == *id) {
            member.stopping = true;
        }
        if let Some(change) = next.history.last_mut() {
            change.stopping.push(id.clone());
        }
        next
    }

    /// Whether a member is on the list.
    pub fn contains(&self, id: &MemberId) -> bool {
        self.get(id).is_some()
    }

    /// A member by its name.
    pub fn get(&self, id: &MemberId) -> Option<&Member> {
        self.members.iter().find(|m| m.id == *id)
    }

    /// The members of the epoch before this one, if the history goes back so far.
    pub fn previous(&self) -> Option<Vec<Member>> {
        let change = self.history.last().filter(|c| c.epoch == self.epoch)?;
        let mut members = self.members.clone();
        members.retain(|m| !change.joined.contains(&m.id));
        members.extend(change.left.iter().cloned());
        for member in members
            .iter_mut()
            .filter(|m| change.stopping.contains(&m.id))
        {
            member.stopping = false;
        }
        members.sort_by(|a, b| a.id.cmp(&b.id));
        Some(members)
    }

    /// Member lists as far back as the history reaches, oldest first.
    pub fn as_far_back(&self) -> Vec<MemberList> {
        let oldest = self.history.first().map_or(self.epoch, |c| c.epoch);
        self.since(oldest).unwrap_or_else(|| vec![self.clone()])
    }

    /// Member lists from a given epoch on, oldest first, as far as the history reaches.
    ///
    /// The last one is this list's own. `None` when the history doesn't reach back that far.
    pub fn since(&self, epoch: u64) -> Option<Vec<MemberList>> {
        if epoch > self.epoch {
            return None;
        }
        let mut lists = vec![self.clone()];
        let mut at = self.clone();
        while at.epoch > epoch {
            let members = at.previous()?;
            let mut history = at.history.clone();
            history.pop();
            at = MemberList {
                epoch: at.epoch - 1,
                members,
                history,
            };
            lists.push(at.clone());
        }
        lists.reverse();
        Some(lists)
    }
}
