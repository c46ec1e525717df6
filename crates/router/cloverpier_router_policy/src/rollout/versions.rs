//! Which versions an attempt may go to.
//!
//! Relies on [`super::registry`] for the stage; draws nothing itself but the set of upstreams that are
//! tried first, which is the same at all routers that know the same list. Owns no state.

use crate::upstream::UpstreamState;
use cloverpier_core::{SoftwareVersion, hash_of};

/// Groups into which the upstreams of a new version are counted, so that one bad upstream is not
/// counted as a bad version and a report stays short whatever the number of upstreams.
pub const GROUPS: usize = 8;

/// The upstreams of the new version that are tried first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CanarySet {
    /// How many.
    pub size: usize,
    /// Which, counted in sets of this size: another round tries others.
    pub round: u8,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Preference {
    /// All versions alike.
    #[default]
    None,
    /// Those before the new one.
    Former(SoftwareVersion),
    /// Some upstreams of the new one, else those before.
    Canary(SoftwareVersion, CanarySet),
    /// The new one, else those before.
    Target(SoftwareVersion),
}

/// Which versions an attempt may go to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionRule {
    /// Versions that get nothing.
    barred: Vec<SoftwareVersion>,
    preference: Preference,
}

impl VersionRule {
    /// Any version will do.
    pub const ANY: Self = Self {
        barred: Vec::new(),
        preference: Preference::None,
    };

    /// Any version will do but these.
    pub fn but(barred: Vec<SoftwareVersion>) -> Self {
        Self {
            barred,
            preference: Preference::None,
        }
    }

    /// The versions before a new one; the new one only if no upstream of another is listed.
    #[must_use]
    pub fn preferring_former(self, target: SoftwareVersion) -> Self {
        let preference = Preference::Former(target);
        Self { preference, ..self }
    }

    /// Some upstreams of a new version; where these are full or dead, the versions before.
    #[must_use]
    pub fn preferring_canaries(self, target: SoftwareVersion, canaries: CanarySet) -> Self {
        let preference = Preference::Canary(target, canaries);
        Self { preference, ..self }
    }

    /// A new version; where its upstreams are full or dead, the versions before.
    #[must_use]
    pub fn preferring_target(self, target: SoftwareVersion) -> Self {
        let preference = Preference::Target(target);
        Self { preference, ..self }
    }

    /// Whether a version gets nothing. An upstream whose version is not known was listed by a
    /// router of a release that does not hand versions on, and gets what it always got.
    pub fn bars(&self, version: Option<&SoftwareVersion>) -> bool {
        version.is_some_and(|version| self.barred.contains(version))
    }

    /// The upstreams of a service that may get the attempt, in sets: a later one only counts
    /// where nobody of those before takes it.
    pub(crate) fn sets<'a>(
        &self,
        upstreams: Vec<&'a UpstreamState>,
    ) -> Vec<Vec<&'a UpstreamState>> {
        let mut allowed = upstreams;
        allowed.retain(|s| !self.bars(s.upstream.version()));
        match &self.preference {
            Preference::None => vec![allowed],
            Preference::Former(target) => vec![former_if_listed(allowed, target)],
            Preference::Canary(target, canaries) => {
                let (new, former) = split(allowed, target);
                vec![canaries.of(new), former]
            }
            Preference::Target(target) => {
                let (new, former) = split(allowed, target);
                vec![new, former]
            }
        }
    }

    /// Whether an upstream may keep a replica: it should be where the run may go on.
    pub(crate) fn takes_replica(&self, upstream: &UpstreamState) -> bool {
        let version = upstream.upstream.version();
        let is = |target: &SoftwareVersion| version == Some(target);
        !self.bars(version)
            && match &self.preference {
                Preference::None => true,
                Preference::Former(target) | Preference::Canary(target, _) => !is(target),
                Preference::Target(target) => is(target),
            }
    }
}

/// The upstreams of other versions than the new one, or all if none of these is listed.
fn former_if_listed<'a>(
    upstreams: Vec<&'a UpstreamState>,
    target: &SoftwareVersion,
) -> Vec<&'a UpstreamState> {
    let (new, former) = split(upstreams, target);
    if former.iter().any(|s| s.is_listed()) {
        former
    } else {
        [new, former].concat()
    }
}

fn split<'a>(
    upstreams: Vec<&'a UpstreamState>,
    target: &SoftwareVersion,
) -> (Vec<&'a UpstreamState>, Vec<&'a UpstreamState>) {
    let is_target = |s: &&UpstreamState| s.upstream.version() == Some(target);
    upstreams.into_iter().partition(is_target)
}

impl CanarySet {
    /// The upstreams of the set. They are ranked by name, so that neighbours, which may share a
    /// data centre, are not tried together.
    fn of<'a>(&self, mut upstreams: Vec<&'a UpstreamState>) -> Vec<&'a UpstreamState> {
        upstreams.retain(|s| s.is_listed());
        if upstreams.is_empty() {
            return upstreams;
        }
        let rank =
            |s: &&UpstreamState| (hash_of(s.upstream.name.as_str()), s.upstream.name.clone());
        upstreams.sort_by_cached_key(rank);
        let size = self.size.clamp(1, upstreams.len());
        let first = usize::from(self.round) * size % upstreams.len();
        upstreams.rotate_left(first);
        upstreams.truncate(size);
        upstreams
    }
}

/// The group in which an upstream's answers are counted.
pub fn group_of(upstream: &str) -> u8 {
    let group = hash_of(upstream) % GROUPS as u64;
    // Below the number of groups, so the cast keeps it.
    group as u8
}
