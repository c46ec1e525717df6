//! Which software versions an attempt may go to.
//!
//! Relies on [`super::registry`] for the stage. The set of canary upstreams is computed from the
//! upstreams' names, so all routers that have the same list compute the same set. Owns no state.

use crate::stream_version::StreamVersion;
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

/// Which software versions an attempt may go to: excluded versions, the version that a stream needs, and a preference
/// among the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionRule {
    /// Versions that receive no attempts.
    excluded: Vec<SoftwareVersion>,
    /// Versions that receive no attempts yet, except those of streams that they began.
    on_hold: Vec<SoftwareVersion>,
    /// Versions that receive no attempts of new streams where an upstream of another version accepts them.
    avoided: Vec<StreamVersion>,
    /// The only version that may receive the attempt, as it began the stream; `None` for a new stream and for a plain
    /// request. No preference applies then.
    required: Option<StreamVersion>,
    preference: Preference,
}

impl VersionRule {
    /// Allows all versions, without a preference.
    pub const ANY: Self = Self {
        excluded: Vec::new(),
        on_hold: Vec::new(),
        avoided: Vec::new(),
        required: None,
        preference: Preference::None,
    };

    /// Allows all versions but these, without a preference.
    pub fn excluding(excluded: Vec<SoftwareVersion>) -> Self {
        Self {
            excluded,
            ..Self::ANY
        }
    }

    /// Excludes further versions, except for streams that they began.
    #[must_use]
    pub fn holding(self, on_hold: Vec<SoftwareVersion>) -> Self {
        Self { on_hold, ..self }
    }

    /// Prefers other versions than these to begin a stream.
    #[must_use]
    pub fn avoiding(self, avoided: Vec<StreamVersion>) -> Self {
        Self { avoided, ..self }
    }

    /// Allows only the version that began a stream, for an attempt that continues the stream.
    #[must_use]
    pub fn for_stream(self, began: StreamVersion) -> Self {
        let required = Some(began);
        Self { required, ..self }
    }

    /// The version that began the stream; `None` for a new stream and for a plain request.
    pub fn required(&self) -> Option<&StreamVersion> {
        self.required.as_ref()
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

    /// Whether a version receives no attempts, whatever began the stream. `None` is never excluded: such an upstream was
    /// learned from a router of a release that does not forward versions, and receives requests as before.
    pub fn excludes(&self, version: Option<&SoftwareVersion>) -> bool {
        let is_on_hold = |version| self.required.is_none() && self.on_hold.contains(version);
        version.is_some_and(|version| self.excluded.contains(version) || is_on_hold(version))
    }

    /// Whether an upstream may receive the attempt, as far as its version decides.
    pub fn allows(&self, upstream: &UpstreamState) -> bool {
        let is_required = |began: &StreamVersion| {
            StreamVersion::of_upstream(upstream).is_some_and(|version| version == *began)
        };
        !self.excludes(upstream.upstream.version())
            && self.required.as_ref().is_none_or(is_required)
    }

    /// The upstreams of a service that may receive the attempt, in sets by preference: a later set is
    /// used only if no upstream of the earlier sets accepts the attempt.
    pub(crate) fn candidate_sets<'a>(
        &self,
        upstreams: Vec<&'a UpstreamState>,
    ) -> Vec<Vec<&'a UpstreamState>> {
        let mut allowed = upstreams;
        allowed.retain(|s| self.allows(s));
        if self.required.is_some() {
            return vec![allowed];
        }
        let sets = self.sets_by_preference(allowed);
        if self.avoided.is_empty() {
            return sets;
        }
        let is_avoided = |s: &&UpstreamState| {
            let version = StreamVersion::of_upstream(s);
            version.is_some_and(|version| self.avoided.contains(&version))
        };
        let split = sets
            .into_iter()
            .map(|set| set.into_iter().partition(is_avoided));
        let (avoided, preferred): (Vec<_>, Vec<_>) = split.unzip();
        preferred.into_iter().chain(avoided).collect()
    }

    fn sets_by_preference<'a>(
        &self,
        allowed: Vec<&'a UpstreamState>,
    ) -> Vec<Vec<&'a UpstreamState>> {
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

    /// Whether an upstream may keep a replica of the KV cache of a stream that runs at `primary`. The stream can resume
    /// only at the version that began it, and at the latest that of `primary` does.
    pub(crate) fn may_hold_replica(
        &self,
        upstream: &UpstreamState,
        primary: &UpstreamState,
    ) -> bool {
        let version = StreamVersion::of_upstream(upstream);
        let is_same = version.is_some() && version == StreamVersion::of_upstream(primary);
        is_same && !self.excludes(upstream.upstream.version())
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
