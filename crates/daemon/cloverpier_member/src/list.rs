//! The member list and its epochs.
//!
//! The list is stored at the platform as one object. Each change starts a new epoch. The list
//! contains its last changes, because the records of a slot are fetched from the holders of past
//! epochs.

use cloverpier_core::{DataCentre, MemberId, VmName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// A router process on the member list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identifies the process as `vm~incarnation`. A restarted process has another id.
    pub id: MemberId,
    /// The VM that runs the process. At most one process of a VM is on the list.
    pub vm: VmName,
    /// The data centre of the VM.
    pub data_centre: DataCentre,
    /// The address for requests of peers and operators.
    pub peers_at: SocketAddr,
    /// The address for requests of callers.
    pub callers_at: SocketAddr,
    /// Set when the process shuts down as planned. Callers no longer get its address, and it holds
    /// no slots while a member that is not stopping remains.
    #[serde(default)]
    pub stopping: bool,
}

impl Member {
    /// Creates a member that is not stopping. `incarnation` is the start time of the process, in
    /// milliseconds since 1970.
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

/// The change that started an epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberChange {
    /// The epoch that the change started.
    pub epoch: u64,
    /// Members that were removed, with their addresses, so that the previous list can be restored.
    pub left: Vec<Member>,
    /// Members that were added.
    pub joined: Vec<MemberId>,
    /// Members that were marked as stopping.
    #[serde(default)]
    pub stopping: Vec<MemberId>,
}

/// The members of one epoch, and the changes that led there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberList {
    /// Increases by one with each change; 0 for the empty list before the first member.
    pub epoch: u64,
    /// The members, ordered by id.
    pub members: Vec<Member>,
    /// The last changes, oldest first, at most [`Self::MAX_HISTORY`].
    pub history: Vec<MemberChange>,
}

impl MemberList {
    /// The number of changes that a list contains. The records of a slot can be fetched from
    /// holders as many epochs back, so the simultaneous start of all routers of a data centre must
    /// not cause more changes than this.
    pub const MAX_HISTORY: usize = 64;

    /// The list after a member has joined.
    #[must_use]
    pub fn with_joined(&self, member: Member) -> Self {
        self.with_all_joined(vec![member])
    }

    /// The list after members have joined, in one change.
    ///
    /// The same change removes earlier processes on the same VMs.
    #[must_use]
    pub fn with_all_joined(&self, joined: Vec<Member>) -> Self {
        let replaced = |m: &&Member| joined.iter().any(|j| j.vm == m.vm);
        let earlier = self.members.iter().filter(replaced);
        let left: BTreeSet<MemberId> = earlier.map(|m| m.id.clone()).collect();
        self.with_change(&left, joined)
    }

    /// The list without the given members, in one change.
    #[must_use]
    pub fn without(&self, removed: &BTreeSet<MemberId>) -> Self {
        self.with_change(removed, Vec::new())
    }

    fn with_change(&self, removed: &BTreeSet<MemberId>, joined: Vec<Member>) -> Self {
        let is_removed = |m: &&Member| removed.contains(&m.id);
        let left: Vec<Member> = self.members.iter().filter(is_removed).cloned().collect();
        let mut members = self.members.clone();
        members.retain(|m| !removed.contains(&m.id));
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
        let excess = history.len().saturating_sub(Self::MAX_HISTORY);
        history.drain(..excess);
        Self {
            epoch: self.epoch + 1,
            members,
            history,
        }
    }

    /// The list with a member marked as stopping, in a new epoch.
    #[must_use]
    pub fn with_stopping(&self, id: &MemberId) -> Self {
        let mut next = self.with_change(&BTreeSet::new(), Vec::new());
        for member in next.members.iter_mut().filter(|m| m.id == *id) {
            member.stopping = true;
        }
        if let Some(change) = next.history.last_mut() {
            change.stopping.push(id.clone());
        }
        next
    }

    /// Whether the member is on the list.
    pub fn contains(&self, id: &MemberId) -> bool {
        self.get(id).is_some()
    }

    /// The member with the given id; `None` if it is not on the list.
    pub fn get(&self, id: &MemberId) -> Option<&Member> {
        self.members.iter().find(|m| m.id == *id)
    }

    /// The members of the previous epoch; `None` if the history does not contain the last change.
    pub fn previous_members(&self) -> Option<Vec<Member>> {
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

    /// The lists of all epochs that the history covers, oldest first. The last one is this list.
    pub fn available_lists(&self) -> Vec<MemberList> {
        let oldest = self.history.first().map_or(self.epoch, |c| c.epoch);
        self.lists_since(oldest)
            .unwrap_or_else(|| vec![self.clone()])
    }

    /// The lists from `epoch` up to the current one, oldest first.
    ///
    /// `None` if the history does not reach back to `epoch`, or if `epoch` is later than the
    /// current one.
    pub fn lists_since(&self, epoch: u64) -> Option<Vec<MemberList>> {
        if epoch > self.epoch {
            return None;
        }
        let mut lists = vec![self.clone()];
        let mut at = self.clone();
        while at.epoch > epoch {
            let members = at.previous_members()?;
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
