//! The lease on work that one router at a time does, kept in a store without a clock of its own.
//!
//! - **Question.** May this router act as the holder now? Does it read the lease's record, write it,
//!   or wait?
//! - **Inputs.** What the store answered to reads and conditional writes, and when each call was sent;
//!   which version of the record the holder named in a datagram; whether this router may take the
//!   lease. Moments are those of this router's own clock, which counts suspensions.
//! - **Answer.** A [`LeaseStep`]; [`Lease::acts_until`].
//! - **Why.** Nobody checks the fencing token on the other side, so two holders must never act at the
//!   same time. The holder counts its lease from the moment at which it *sent* the last write that was
//!   acknowledged, and stops after [`LeaseBounds::own_validity`]. Another router counts from the moment
//!   at which it first *saw* the version of the record that is still there, which is later, and waits
//!   for the whole duration. Clocks need not agree; they have to run at the same rate within
//!   [`OWN_SHARE`]. A write whose answer was lost, and which may be done seconds later, proves nothing:
//!   the holder reads the record and writes again under the revision that it finds.
//!
//! **A store that returns in an older state.** Its answers then carry a higher era. Whatever was seen in a
//! former era counts for nothing: a router waits for the whole duration again, from its first answer of the
//! new era on, and a holder that learns of a new era stops at once. Tokens of a later era are greater than
//! all of a former one ([`next_token`]).
//!
//! **No holder returns soon.** A lease is never given back: it runs out. So a former holder can act
//! again only after another one's lease has run out, and no two holders alternate within a duration.
//!
//! [`Lease`] owns what this router has seen of the record, and its own hold of the lease. It is explored
//! exhaustively for a few routers in `tests/lease_model.rs`.

use cloverpier_core::VmName;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// The holder acts for this part of the duration: the rest covers clocks that run at different rates,
/// and a call that is on its way when the time is over.
const OWN_SHARE: f64 = 0.8;
/// Renewals within one duration, so that one of them may fail.
const RENEWALS_PER_DURATION: u32 = 3;
/// The bits of a token below the era's: they hold milliseconds since 1970 until the year 2109.
const ERA_SHIFT: u32 = 42;

/// How long the lease lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseBounds {
    /// A router that has seen the same version of the record for this long may take the lease.
    pub duration: Duration,
}

impl LeaseBounds {
    /// How long a holder acts after it sent a write that was acknowledged.
    pub fn own_validity(self) -> Duration {
        self.duration.mul_f64(OWN_SHARE)
    }

    /// How often a holder renews.
    pub fn renewal_period(self) -> Duration {
        self.duration / RENEWALS_PER_DURATION
    }
}

/// One run of the process of one VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HolderId {
    /// The VM.
    pub vm: VmName,
    /// Drawn at random at each start.
    pub incarnation: u64,
}

/// Whose lease it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Hash)]
pub struct Tenure {
    /// The holder.
    pub holder: HolderId,
    /// The fencing token: greater than those of all holders before.
    pub token: u64,
}

/// A version of the record: eras go before revisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordVersion {
    /// How often the store came back from an older copy; 0 where it does not say.
    pub era: u64,
    /// The revision of the record's last change; `None` where there is no record.
    pub revision: Option<u64>,
}

/// What the store said of the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordSeen {
    /// Its version.
    pub version: RecordVersion,
    /// Whose lease it is; `None` where there is no record.
    pub tenure: Option<Tenure>,
}

/// What a router wants of the lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseWish {
    /// Whether it takes the lease when it is free, and renews it.
    pub may_hold: bool,
    /// Whether it has something to write into the record before the next renewal is due.
    pub has_updates: bool,
}

/// What a write requires of the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Condition {
    /// There is none.
    Absent,
    /// It has this revision.
    Revision(u64),
}

/// A write that renews the lease or takes it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseWrite {
    /// What the write requires.
    pub condition: Condition,
    /// What the record says then.
    pub tenure: Tenure,
    /// The era in which the condition was seen.
    pub era: u64,
}

/// What a router does next about the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing before this moment; `None` where it does nothing until it may take the lease.
    Wait(Option<Instant>),
    /// Read the record.
    Read,
    /// Write the record.
    Write(LeaseWrite),
}

/// The result of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It was done: the record has this version now.
    Done(RecordVersion),
    /// It was not done: this is how the record is.
    Conflict(RecordSeen),
    /// It was not done, and the answer does not say how the record is.
    NotDone,
    /// No answer: it may have been done, or be done later.
    Unknown,
}

/// What this router has seen of the record.
#[derive(Clone, Debug, Hash)]
struct Observation {
    version: RecordVersion,
    /// When this version was first known to be there.
    since: Instant,
    /// `None` where only a datagram named the version.
    record: Option<Option<Tenure>>,
}

/// This router's hold of the lease.
#[derive(Clone, Debug, Hash)]
struct Hold {
    tenure: Tenure,
    version: RecordVersion,
    /// When the last acknowledged write was sent; `None` where the record alone says that this router
    /// holds the lease, as after a write whose answer was lost: it acts once it has written again.
    renewed: Option<Instant>,
    /// Whether a later write may have been done.
    is_doubtful: bool,
}

/// The lease, as one router knows it.
#[derive(Clone, Debug, Hash)]
pub struct Lease {
    own: HolderId,
    bounds: LeaseBounds,
    /// The highest era that any answer or datagram named.
    era: u64,
    /// What this router wrote last, and under which era.
    wrote: Option<(u64, Tenure)>,
    observed: Option<Observation>,
    hold: Option<Hold>,
}

impl Lease {
    /// A lease of which nothing is known yet.
    pub fn new(own: HolderId, bounds: LeaseBounds) -> Self {
        Self {
            own,
            bounds,
            era: 0,
            wrote: None,
            observed: None,
            hold: None,
        }
    }

    /// The token of this router's hold, and until when it may act; `None` where it does not hold the
    /// lease. The moment may have passed.
    pub fn acts_until(&self) -> Option<(u64, Instant)> {
        let hold = self.hold.as_ref()?;
        let until = hold.renewed? + self.bounds.own_validity();
        Some((hold.tenure.token, until))
    }

    /// The token with which this router may act now; `None` where it may not.
    pub fn token_at(&self, now: Instant) -> Option<u64> {
        let (token, until) = self.acts_until()?;
        (now < until).then_some(token)
    }

    /// The version of the record as this router wrote it last; `None` where it does not hold the lease.
    pub fn held_version(&self) -> Option<RecordVersion> {
        self.hold.as_ref().map(|hold| hold.version)
    }

    /// What this router does next; `wall_ms` is the time of day, for the tokens of a store that names
    /// eras.
    pub fn step(&self, wish: LeaseWish, wall_ms: u64, now: Instant) -> LeaseStep {
        if let Some(hold) = &self.hold {
            return self.holder_step(hold, wish, now);
        }
        if !wish.may_hold {
            return LeaseStep::Wait(None);
        }
        let Some(observed) = &self.observed else {
            return LeaseStep::Read;
        };
        let free_at = observed.since + self.bounds.duration;
        if now < free_at {
            return LeaseStep::Wait(Some(free_at));
        }
        // The record's content goes into the next version, so it has to be known.
        let Some(record) = &observed.record else {
            return LeaseStep::Read;
        };
        LeaseStep::Write(self.takeover(observed.version, record.as_ref(), wall_ms))
    }

    fn holder_step(&self, hold: &Hold, wish: LeaseWish, now: Instant) -> LeaseStep {
        if !wish.may_hold {
            return LeaseStep::Wait(None);
        }
        if hold.is_doubtful {
            return LeaseStep::Read;
        }
        let period = self.bounds.renewal_period();
        let due = hold.renewed.map_or(now, |renewed| renewed + period);
        if now < due && !wish.has_updates {
            return LeaseStep::Wait(Some(due));
        }
        LeaseStep::Write(LeaseWrite {
            condition: condition(hold.version),
            tenure: hold.tenure.clone(),
            era: hold.version.era,
        })
    }

    fn takeover(
        &self,
        version: RecordVersion,
        former: Option<&Tenure>,
        wall_ms: u64,
    ) -> LeaseWrite {
        let former = former.map_or(0, |tenure| tenure.token);
        LeaseWrite {
            condition: condition(version),
            tenure: Tenure {
                holder: self.own.clone(),
                token: next_token(former, version.era, wall_ms),
            },
            era: version.era,
        }
    }

    /// Records what a read returned.
    pub fn on_read(&mut self, seen: &RecordSeen, now: Instant) {
        if !self.enters_era(seen.version.era) {
            return;
        }
        // A tenure of a former era that names this router may come from an older copy, or from a write
        // that was done late: another router may have followed it meanwhile.
        let wrote = self.wrote.as_ref().filter(|(era, _)| *era == self.era);
        let is_own = |seen: &&Tenure| wrote.is_some_and(|(_, tenure)| tenure == *seen);
        let own = seen.tenure.as_ref().filter(is_own);
        // A write of its own, of which the answer was lost, may have been done: the lease counts from
        // the last one that was acknowledged all the same.
        let renewed = self.hold.as_ref().and_then(|hold| hold.renewed);
        self.hold = own.map(|tenure| Hold {
            tenure: tenure.clone(),
            version: seen.version,
            renewed,
            is_doubtful: false,
        });
        self.observe(seen.version, Some(seen.tenure.clone()), now);
    }

    /// Records the result of a write that was sent at a moment.
    pub fn on_written(
        &mut self,
        write: &LeaseWrite,
        result: &WriteResult,
        sent: Instant,
        now: Instant,
    ) {
        self.wrote = Some((write.era, write.tenure.clone()));
        match result {
            WriteResult::Done(version) if version.era == write.era => {
                self.on_done(write, *version, sent, now);
            }
            // It was done under a revision of a former era, so it says nothing of this one: whoever
            // holds the lease here is found by waiting.
            WriteResult::Done(version) => {
                if self.enters_era(version.era) {
                    self.observe(*version, Some(Some(write.tenure.clone())), now);
                }
            }
            WriteResult::Conflict(seen) => self.on_read(seen, now),
            WriteResult::NotDone => {}
            WriteResult::Unknown => self.on_no_answer(write),
        }
    }

    fn on_done(&mut self, write: &LeaseWrite, version: RecordVersion, sent: Instant, now: Instant) {
        if !self.enters_era(version.era) {
            return;
        }
        self.hold = Some(Hold {
            tenure: write.tenure.clone(),
            version,
            renewed: Some(sent),
            is_doubtful: false,
        });
        self.observe(version, Some(Some(write.tenure.clone())), now);
    }

    fn on_no_answer(&mut self, write: &LeaseWrite) {
        match &mut self.hold {
            Some(hold) if hold.tenure == write.tenure => hold.is_doubtful = true,
            // The record may be this router's without its knowledge. The next read says so, and the
            // moment from which others count does not change by that.
            _ => {
                if let Some(observed) = &mut self.observed {
                    observed.record = None;
                }
            }
        }
    }

    /// Records that the holder named a version of the record.
    pub fn on_version_named(&mut self, version: RecordVersion, now: Instant) {
        let is_newer = self.observed.as_ref().is_none_or(|o| o.version < version);
        if self.hold.is_none() && self.enters_era(version.era) && is_newer {
            self.observe(version, None, now);
        }
    }

    /// Gives up this router's hold: it acts no more, and the lease runs out.
    pub fn give_up(&mut self) {
        self.hold = None;
    }

    /// Takes note of an era; false where it is a former one, whose answers count for nothing.
    fn enters_era(&mut self, era: u64) -> bool {
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

/// The token of a holder after one with the token `former`.
///
/// Where the store names eras, records may be lost with their tokens. A token then begins with the era,
/// so that it is greater than all of former eras, and goes on with the time of day, so that two routers
/// that took the lease in one era, the one after the other and neither seen by the other, differ.
pub fn next_token(former: u64, era: u64, wall_ms: u64) -> u64 {
    let in_era = if era == 0 {
        0
    } else {
        (era << ERA_SHIFT) | (wall_ms & ((1 << ERA_SHIFT) - 1))
    };
    (former + 1).max(in_era)
}
