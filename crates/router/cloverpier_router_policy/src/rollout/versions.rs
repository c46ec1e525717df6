//! Which software versions an attempt may go to.
//!
//! Relies on [`super::registry`] for the stage. The set of canary upstreams is computed from the
//! upstreams' names, so all routers that have the same list compute the same set. Owns no state.

use crate::upstream::UpstreamState;
use cloverpier_core::{SoftwareVersion, hash_of};

/// Groups into which the upstreams of a target version are divided for counting. Groups separate one
/// bad upstream from a bad version, and bound the size of a report for any number of upstreams.
pub const UPSTREAM_GROUPS: usize = 8;

/// The upstreams of the target version that receive its requests in the first two stages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CanarySet {
    /// The number of upstreams in the set.
    pub size: usize,
    /// Selects the set: each round takes the next `size` upstreams and starts over after the last.
    pub round: u8,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Preference {
    /// No version is preferred.
    #[default]
    None,
    /// Only versions other than this target, if any upstream of these versions is listed.
    Previous(SoftwareVersion),
    /// Some upstreams of this target are preferred, then the previous versions.
    Canary(SoftwareVersion, CanarySet),
    /// This target is preferred, then the previous versions.
    Target(SoftwareVersion),
}

/// Which software versions an attempt may go to: excluded versions, and a preference among others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionRule {
    /// Versions that receive no attempts.
    excluded: Vec<SoftwareVersion>,
    preference: Preference,
}

impl VersionRule {
    /// Allows all versions, without a preference.
    pub const ANY: Self = Self {
        excluded: Vec::new(),
        preference: Preference::None,
    };

    /// Allows all versions but these, without a preference.
    pub fn excluding(excluded: Vec<SoftwareVersion>) -> Self {
        Self {
            excluded,
            preference: Preference::None,
        }
    }

    /// Allows only versions other than the target; the target only if no upstream of another is listed.
    #[must_use]
    pub fn preferring_previous(self, target: SoftwareVersion) -> Self {
        let preference = Preference::Previous(target);
        Self { preference, ..self }
    }

    /// Prefers some upstreams of the target; where they are full or dead, the previous versions.
    #[must_use]
    pub fn preferring_canaries(self, target: SoftwareVersion, canaries: CanarySet) -> Self {
        let preference = Preference::Canary(target, canaries);
        Self { preference, ..self }
    }

    /// Prefers the target; where its upstreams are full or dead, the previous versions.
    #[must_use]
    pub fn preferring_target(self, target: SoftwareVersion) -> Self {
        let preference = Preference::Target(target);
        Self { preference, ..self }
    }

    /// Whether a version receives no attempts. `None` is never excluded: such an upstream was learned
    /// from a router of a release that does not forward versions, and receives requests as before.
    pub fn excludes(&self, version: Option<&SoftwareVersion>) -> bool {
        version.is_some_and(|version| self.excluded.contains(version))
    }

    /// The upstreams of a service that may receive the attempt, in sets by preference: a later set is
    /// used only if no upstream of the earlier sets accepts the attempt.
    pub(crate) fn candidate_sets<'a>(
        &self,
        upstreams: Vec<&'a UpstreamState>,
    ) -> Vec<Vec<&'a UpstreamState>> {
        let mut allowed = upstreams;
        allowed.retain(|s| !self.excludes(s.upstream.version()));
        match &self.preference {
            Preference::None => vec![allowed],
            Preference::Previous(target) => vec![previous_if_listed(allowed, target)],
            Preference::Canary(target, canaries) => {
                let (target_upstreams, previous) = split_by_target(allowed, target);
                vec![canaries.of(target_upstreams), previous]
            }
            Preference::Target(target) => {
                let (target_upstreams, previous) = split_by_target(allowed, target);
                vec![target_upstreams, previous]
            }
        }
    }

    /// Whether an upstream may keep a replica of a stream's KV cache: its version should be the one at
    /// which the stream may resume.
    pub(crate) fn may_hold_replica(&self, upstream: &UpstreamState) -> bool {
        let version = upstream.upstream.version();
        let is = |target: &SoftwareVersion| version == Some(target);
        !self.excludes(version)
            && match &self.preference {
                Preference::None => true,
                Preference::Previous(target) | Preference::Canary(target, _) => !is(target),
                Preference::Target(target) => is(target),
            }
    }
}

/// The upstreams of other versions than the target, or all upstreams if none of these is listed.
fn previous_if_listed<'a>(
    upstreams: Vec<&'a UpstreamState>,
    target: &SoftwareVersion,
) -> Vec<&'a UpstreamState> {
    let (target_upstreams, previous) = split_by_target(upstreams, target);
    if previous.iter().any(|s| s.is_listed()) {
        previous
    } else {
        [target_upstreams, previous].concat()
    }
}

fn split_by_target<'a>(
    upstreams: Vec<&'a UpstreamState>,
    target: &SoftwareVersion,
) -> (Vec<&'a UpstreamState>, Vec<&'a UpstreamState>) {
    let is_target = |s: &&UpstreamState| s.upstream.version() == Some(target);
    upstreams.into_iter().partition(is_target)
}

impl CanarySet {
    /// The upstreams of the set. They are ordered by a hash of their names, so that upstreams with
    /// similar names, which may share a data centre, are not tried together.
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

/// The group in which an upstream's responses are counted, from 0 to [`UPSTREAM_GROUPS`] - 1.
pub fn group_of(upstream: &str) -> u8 {
    let group = hash_of(upstream) % UPSTREAM_GROUPS as u64;
    // Below the number of groups, so the cast does not truncate.
    group as u8
}
