//! The lease on singleton work, kept in a store that has no clock.
//!
//! - **Question.** May this router act as the holder now? Does it read the lease's record, write it,
//!   or wait?
//! - **Inputs.** The store's responses to reads and conditional writes, and when each call was sent;
//!   the record's version that the holder reported in a datagram; whether this router may take the
//!   lease. Moments are those of this router's monotonic clock, which also counts suspensions.
//! - **Outcome.** A [`LeaseStep`]; [`Lease::acts_until`].
//! - **Why.** The platform does not check the fencing token, so two holders must never act at the same
//!   time. The holder counts its lease from the moment at which it *sent* the last acknowledged write,
//!   and stops after [`LeaseBounds::holder_validity`]. Another router counts from the moment at which
//!   it first *saw* the record's present version, which is later, and waits for the whole duration.
//!   Clocks need not agree; their rates have to, within the margin of [`HOLDER_VALIDITY_FRACTION`]. A
//!   write whose response was lost may be applied seconds later, so it proves nothing: the holder reads
//!   the record and writes again under the revision that it finds.
//!
//! **A store that is restored from an older copy.** Its responses then carry a higher era, and all
//! observations of earlier eras are void: a router waits for the whole duration again, from its first
//! response of the new era, and a holder that receives a new era stops at once. Tokens of a later era
//! are greater than all tokens of earlier eras ([`next_token`]).
//!
//! **No holder returns soon.** A lease is never released: it expires. So a former holder can act again
//! only after another router's lease has expired, and two holders never alternate within a duration.
//!
//! [`Lease`] owns this router's observations of the record, and its own hold of the lease. The states
//! of a few routers are explored exhaustively in `tests/lease_model.rs`.

use cloverpier_core::VmName;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// The fraction of the lease's duration for which its holder acts. The rest is a margin for clocks of
/// different rates, and for a call that is still on its way when the holder stops.
const HOLDER_VALIDITY_FRACTION: f64 = 0.8;
/// Renewals that are due within one duration; with three, one may fail.
const RENEWALS_PER_DURATION: u32 = 3;
/// The number of bits of a token below the era. They hold milliseconds since 1970 until the year 2109.
const ERA_SHIFT: u32 = 42;

/// The duration of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseBounds {
    /// How long a router has to observe the same version of the record before it may take the lease.
    pub duration: Duration,
}

impl LeaseBounds {
    /// How long a holder acts after it sent a write that was acknowledged; shorter than the duration.
    pub fn holder_validity(self) -> Duration {
        self.duration.mul_f64(HOLDER_VALIDITY_FRACTION)
    }

    /// The time between two renewals of a holder.
    pub fn renewal_period(self) -> Duration {
        self.duration / RENEWALS_PER_DURATION
    }
}

/// A process of a router, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HolderId {
    /// The VM that the process runs on.
    pub vm: VmName,
    /// A random number that the process draws at its start.
    pub incarnation: u64,
}

/// The holder of a lease, with the fencing token under which it acts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Hash)]
pub struct Tenure {
    /// The process that holds the lease.
    pub holder: HolderId,
    /// The fencing token, greater than the tokens of all earlier holders.
    pub token: u64,
}

/// The version of the lease's record. Versions are ordered by era first, then by revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordVersion {
    /// How often the store was restored from an older copy; 0 for a store that does not report eras.
    pub era: u64,
    /// The store's revision of the record's last change; `None` if the record does not exist.
    pub revision: Option<u64>,
}

/// The content of the lease's record, as the store returned it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordSnapshot {
    /// The version that the content belongs to.
    pub version: RecordVersion,
    /// The holder that the record names; `None` if the record does not exist.
    pub tenure: Option<Tenure>,
}

/// The inputs of [`Lease::step`] that depend on this router's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseInput {
    /// Whether this router may take the lease when it has expired, and renew it while holding it.
    pub may_hold: bool,
    /// Whether this router has an update for the record that should not wait for the next renewal.
    pub has_updates: bool,
}

/// The state of the record that a conditional write requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Condition {
    /// The record does not exist.
    Absent,
    /// The record has this revision.
    Revision(u64),
}

/// A conditional write that renews the lease or takes it over.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseWrite {
    /// The state of the record that the store has to find, or it does not apply the write.
    pub condition: Condition,
    /// The holder that the record names after the write.
    pub tenure: Tenure,
    /// The store's era in which `condition` was observed.
    pub era: u64,
}

/// The next action of a router on the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Wait until this moment; `None` while [`LeaseInput::may_hold`] is false, without a known end.
    Wait(Option<Instant>),
    /// Read the record.
    Read,
    /// Write the record.
    Write(LeaseWrite),
}

/// The result of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write was applied, and the record has this version now.
    Done(RecordVersion),
    /// The write was not applied, as the record has this content.
    Conflict(RecordSnapshot),
    /// The write was not applied, and the response does not contain the record.
    NotDone,
    /// No usable response: the write may have been applied, or may still be applied later.
    Unknown,
}

/// This router's latest observation of the record.
#[derive(Clone, Debug, Hash)]
struct Observation {
    version: RecordVersion,
    /// When this router first received this version.
    since: Instant,
    /// The holder that the record names, if the record exists. The outer `None` means that the
    /// content is unknown: only a datagram named the version, or a write without a response may have
    /// replaced it.
    record: Option<Option<Tenure>>,
}

/// This router's hold of the lease.
#[derive(Clone, Debug, Hash)]
struct HeldLease {
    tenure: Tenure,
    version: RecordVersion,
    /// When the last acknowledged write was sent. `None` where only a read shows that this router holds
    /// the lease, as after a write whose response was lost: the router acts after its next write.
    renewal_sent: Option<Instant>,
    /// Whether a later write may have been applied, so that the record has to be read before another.
    needs_read: bool,
}

/// The state of the lease at one router.
#[derive(Clone, Debug, Hash)]
pub struct Lease {
    own_id: HolderId,
    bounds: LeaseBounds,
    /// The highest era of any response or datagram so far.
    era: u64,
    /// The last write of this router: its era, and the tenure that it put into the record.
    last_write: Option<(u64, Tenure)>,
    observed: Option<Observation>,
    hold: Option<HeldLease>,
}

impl Lease {
    /// The state of the lease at the start of a process, before any response or datagram.
    pub fn new(own_id: HolderId, bounds: LeaseBounds) -> Self {
        Self {
            own_id,
            bounds,
            era: 0,
            last_write: None,
            observed: None,
            hold: None,
        }
    }

    /// The token of this router's hold, and the moment until which the router may act, which may have
    /// passed; `None` if the router does not hold the lease, or none of its writes was acknowledged.
    pub fn acts_until(&self) -> Option<(u64, Instant)> {
        let hold = self.hold.as_ref()?;
        let until = hold.renewal_sent? + self.bounds.holder_validity();
        Some((hold.tenure.token, until))
    }

    /// The token with which this router may act now; `None` if it may not act.
    pub fn token_at(&self, now: Instant) -> Option<u64> {
        let (token, until) = self.acts_until()?;
        (now < until).then_some(token)
    }

    /// The version of the record at this router's last write or read; `None` if it does not hold the
    /// lease.
    pub fn held_version(&self) -> Option<RecordVersion> {
        self.hold.as_ref().map(|hold| hold.version)
    }

    /// The next action of this router. `wall_ms` is the time of day in milliseconds since 1970, which new
    /// tokens contain if the store reports eras.
    pub fn step(&self, input: LeaseInput, wall_ms: u64, now: Instant) -> LeaseStep {
        if let Some(hold) = &self.hold {
            return self.holder_step(hold, input, now);
        }
        if !input.may_hold {
            return LeaseStep::Wait(None);
        }
        let Some(observed) = &self.observed else {
            return LeaseStep::Read;
        };
        let free_at = observed.since + self.bounds.duration;
        if now < free_at {
            return LeaseStep::Wait(Some(free_at));
        }
        // The next version keeps the record's content, so the content has to be read first.
        let Some(record) = &observed.record else {
            return LeaseStep::Read;
        };
        LeaseStep::Write(self.takeover_write(observed.version, record.as_ref(), wall_ms))
    }

    fn holder_step(&self, hold: &HeldLease, input: LeaseInput, now: Instant) -> LeaseStep {
        if !input.may_hold {
            return LeaseStep::Wait(None);
        }
        if hold.needs_read {
            return LeaseStep::Read;
        }
        let period = self.bounds.renewal_period();
        let due = hold
            .renewal_sent
            .map_or(now, |renewal_sent| renewal_sent + period);
        if now < due && !input.has_updates {
            return LeaseStep::Wait(Some(due));
        }
        LeaseStep::Write(LeaseWrite {
            condition: condition(hold.version),
            tenure: hold.tenure.clone(),
            era: hold.version.era,
        })
    }

    fn takeover_write(
        &self,
        version: RecordVersion,
        previous: Option<&Tenure>,
        wall_ms: u64,
    ) -> LeaseWrite {
        let previous = previous.map_or(0, |tenure| tenure.token);
        LeaseWrite {
            condition: condition(version),
            tenure: Tenure {
                holder: self.own_id.clone(),
                token: next_token(previous, version.era, wall_ms),
            },
            era: version.era,
        }
    }

    /// Records the content of the record that a read returned.
    pub fn on_read(&mut self, snapshot: &RecordSnapshot, now: Instant) {
        if !self.accept_era(snapshot.version.era) {
            return;
        }
        // A tenure of an earlier era that names this router may come from an older copy, or from a write
        // that was applied late; another router may have held the lease since.
        let last_write = self.last_write.as_ref().filter(|(era, _)| *era == self.era);
        let is_own = |found: &&Tenure| last_write.is_some_and(|(_, tenure)| tenure == *found);
        let own_tenure = snapshot.tenure.as_ref().filter(is_own);
        // This router's write may have been applied although its response was lost. The lease still
        // counts from the last acknowledged write.
        let renewal_sent = self.hold.as_ref().and_then(|hold| hold.renewal_sent);
        self.hold = own_tenure.map(|tenure| HeldLease {
            tenure: tenure.clone(),
            version: snapshot.version,
            renewal_sent,
            needs_read: false,
        });
        self.observe(snapshot.version, Some(snapshot.tenure.clone()), now);
    }

    /// Records the result of a write that was sent at the moment `sent`.
    pub fn on_written(
        &mut self,
        write: &LeaseWrite,
        result: &WriteResult,
        sent: Instant,
        now: Instant,
    ) {
        self.last_write = Some((write.era, write.tenure.clone()));
        match result {
            WriteResult::Done(version) if version.era == write.era => {
                self.on_done(write, *version, sent, now);
            }
            // The write was applied under a revision of an earlier era, so it does not show who holds the
            // lease in this era. Waiting for the whole duration does.
            WriteResult::Done(version) => {
                if self.accept_era(version.era) {
                    self.observe(*version, Some(Some(write.tenure.clone())), now);
                }
            }
            WriteResult::Conflict(snapshot) => self.on_read(snapshot, now),
            WriteResult::NotDone => {}
            WriteResult::Unknown => self.on_no_answer(write),
        }
    }

    fn on_done(&mut self, write: &LeaseWrite, version: RecordVersion, sent: Instant, now: Instant) {
        if !self.accept_era(version.era) {
            return;
        }
        self.hold = Some(HeldLease {
            tenure: write.tenure.clone(),
            version,
            renewal_sent: Some(sent),
            needs_read: false,
        });
        self.observe(version, Some(Some(write.tenure.clone())), now);
    }

    fn on_no_answer(&mut self, write: &LeaseWrite) {
        match &mut self.hold {
            Some(hold) if hold.tenure == write.tenure => hold.needs_read = true,
            // The record may name this router as the holder. The next read shows whether it does, and the
            // moment from which other routers count stays the same.
            _ => {
                if let Some(observed) = &mut self.observed {
                    observed.record = None;
                }
            }
        }
    }

    /// Records a version of the record that the holder reported in a datagram.
    pub fn on_version_reported(&mut self, version: RecordVersion, now: Instant) {
        let is_newer = self.observed.as_ref().is_none_or(|o| o.version < version);
        if self.hold.is_none() && self.accept_era(version.era) && is_newer {
            self.observe(version, None, now);
        }
    }

    /// Ends this router's hold: the router no longer acts, and the lease expires for other routers.
    pub fn abandon(&mut self) {
        self.hold = None;
    }

    /// Records the era of a response or datagram; returns false for an earlier era, whose content is
    /// void.
    fn accept_era(&mut self, era: u64) -> bool {
        if era > self.era {
            self.era = era;
            self.observed = None;
            self.hold = None;
        }
        era == self.era
    }

    fn observe(&mut self, version: RecordVersion, record: Option<Option<Tenure>>, now: Instant) {
        match &mut self.observed {
            Some(observed) if observed.version == version => {
                observed.record = record.or(observed.record.take());
            }
            _ => {
                self.observed = Some(Observation {
                    version,
                    since: now,
                    record,
                });
            }
        }
    }
}

fn condition(version: RecordVersion) -> Condition {
    version
        .revision
        .map_or(Condition::Absent, Condition::Revision)
}

/// The fencing token of the holder after one whose token was `previous`.
///
/// If the store reports eras, records may be lost together with their tokens. A token then starts with
/// the era, so that it exceeds all tokens of earlier eras. Its lower bits are the time of day, so that
/// two routers that hold the lease in one era, without observing each other's tenure, differ.
pub fn next_token(previous: u64, era: u64, wall_ms: u64) -> u64 {
    let in_era = if era == 0 {
        0
    } else {
        (era << ERA_SHIFT) | (wall_ms & ((1 << ERA_SHIFT) - 1))
    };
    (previous + 1).max(in_era)
}
