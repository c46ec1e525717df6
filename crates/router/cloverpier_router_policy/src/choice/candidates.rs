//! Who may get an attempt, and who only if the others are full.
//!
//! Relies on the suspicions that the table of upstreams holds. Owns no state.

use super::Demand;
use crate::upstream::UpstreamState;
use crate::upstream_table::UpstreamTable;

/// Those who may get the attempt, in groups: a later one only counts where all of those before
/// are full. No group is empty.
///
/// 1. usable upstreams that no peer suspects, in data centres that do not seem dead;
/// 2. usable ones that no peer suspects;
/// 3. usable ones.
///
/// Where none is usable there is one group:
///
/// 4. all that are listed, suspected ones among them;
/// 5. only where nothing of the service is listed: those whose entries vanished within
///    [`crate::suspicion::RETURN_WINDOW`], as outages of the store do that to living ones.
///
/// A peer's suspicion is no proof. While each of three of four lookup servers lost a fifth of its
/// answers by resets, some of 60 routers suspected each of the three at any time, and all requests
/// went to the fourth: 472 ended refused in one play of six such seconds with idle servers beside.
pub(super) fn candidate_groups<'a>(
    table: &'a UpstreamTable,
    demand: &Demand<'_>,
) -> Vec<Vec<&'a UpstreamState>> {
    let of_service: Vec<&UpstreamState> = table.of_service(demand.service).collect();
    let untried = |s: &UpstreamState| !demand.tried.contains(&s.upstream.name);
    let usable = filtered(&of_service, |s| s.is_usable() && untried(s));
    if usable.is_empty() {
        let last_resort = last_resort(&of_service, demand);
        return non_empty([filtered(&last_resort, untried)]);
    }
    let unsuspected = filtered(&usable, |s| !s.is_suspected_by_peer(demand.now));
    let suspect_data_centres = table.suspect_data_centres(demand.service, demand.now);
    let sound = filtered(&unsuspected, |s| {
        !suspect_data_centres.contains(&s.upstream.data_centre)
    });
    non_empty([sound, unsuspected, usable])
}

/// Groups 4 and 5.
fn last_resort<'a>(
    of_service: &[&'a UpstreamState],
    demand: &Demand<'_>,
) -> Vec<&'a UpstreamState> {
    let listed = filtered(of_service, UpstreamState::is_listed);
    if !listed.is_empty() {
        return listed;
    }
    let may_be_back = |s: &UpstreamState| s.may_still_serve() && s.vanished_recently(demand.now);
    filtered(of_service, may_be_back)
}

fn non_empty<const N: usize>(groups: [Vec<&UpstreamState>; N]) -> Vec<Vec<&UpstreamState>> {
    let groups = groups.into_iter();
    groups.filter(|group| !group.is_empty()).collect()
}

/// The upstreams of a list for which something holds.
pub(crate) fn filtered<'a>(
    states: &[&'a UpstreamState],
    holds: impl Fn(&UpstreamState) -> bool,
) -> Vec<&'a UpstreamState> {
    states.iter().copied().filter(|s| holds(s)).collect()
}
