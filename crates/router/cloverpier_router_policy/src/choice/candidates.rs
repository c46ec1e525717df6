//! Who may get an attempt, and who only if the others are full.
//!
//! Relies on the suspicions that the table of upstreams holds. Owns no state.

use super::Demand;
use crate::upstream::UpstreamState;
use crate::upstream_table::UpstreamTable;

/// Those who may get the attempt, in groups: a later one only counts where all of those before
/// are full. No group is empty. Of each set of versions, in the order of the rule on versions:
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
    let sets = demand
        .versions
        .sets(table.of_service(demand.service).collect());
    let suspect_data_centres = table.suspect_data_centres(demand.service, demand.now);
    let untried = |s: &UpstreamState| !demand.tried.contains(&s.upstream.name);
    let mut groups = Vec::new();
    for set in &sets {
        let usable = filtered(set, |s| s.is_usable() && untried(s));
        let unsuspected = filtered(&usable, |s| !s.is_suspected_by_peer(demand.now));
        let sound = filtered(&unsuspected, |s| {
            !suspect_data_centres.contains(&s.upstream.data_centre)
        });
        groups.extend([sound, unsuspected, usable]);
    }
    groups.retain(|group| !group.is_empty());
    if groups.is_empty() {
        let last_resort = last_resort(&sets.concat(), demand);
        groups.push(filtered(&last_resort, untried));
        groups.retain(|group| !group.is_empty());
    }
    groups
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

/// The upstreams of a list for which something holds.
pub(crate) fn filtered<'a>(
    states: &[&'a UpstreamState],
    holds: impl Fn(&UpstreamState) -> bool,
) -> Vec<&'a UpstreamState> {
    states.iter().copied().filter(|s| holds(s)).collect()
}
