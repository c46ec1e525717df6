//! Who may get an attempt, and who only if the others are full.
//!
//! Relies on the suspicions that the table of upstreams holds. Owns no state.

use super::Demand;
use crate::upstream::UpstreamState;
use crate::upstream_table::UpstreamTable;
use cloverpier_core::DataCentre;

/// Those who may get the attempt, in groups: a later one only counts where all of those before
/// are full. No group is empty. Of each set of versions, in the order of the rule on versions:
///
/// 1. for a stream that was lost, usable engines that no peer suspects, in data centres that do not
///    seem dead and in which none has failed it;
/// 2. usable upstreams that no peer suspects, in data centres that do not seem dead;
/// 3. usable ones that no peer suspects;
/// 4. usable ones.
///
/// Where none is usable there is one group:
///
/// 5. all that are listed, suspected ones among them;
/// 6. only where nothing of the service is listed: those whose entries vanished within
///    [`crate::suspicion::RELIST_WINDOW`], as outages of the store do that to living ones;
/// 7. only where there is none of these either: those that have said that they leave within
///    [`crate::leaving::LAST_RESORT_PERIOD`], as they still serve.
///
/// The engines of a data centre die together, and the first that fails says so before three are
/// suspected.
///
/// One that wants nothing for now is in no group ([`cloverpier_core::wait`]), and none for which there is
/// no permit ([`crate::permit`]).
///
/// A peer's suspicion is no proof. While upstreams lose a part of their answers by resets, some of many
/// routers suspect each of them at any time; all requests would go to the few that nobody suspects.
pub(super) fn candidate_groups<'a>(
    table: &'a UpstreamTable,
    demand: &Demand<'_>,
) -> Vec<Vec<&'a UpstreamState>> {
    let sets = demand
        .versions
        .sets(table.of_service(demand.service).collect());
    let suspect_data_centres = table.suspect_data_centres(demand.service, demand.now);
    let failed_data_centres = failed_data_centres(table, demand);
    let untried = |s: &UpstreamState| {
        !demand.tried.contains(&s.upstream.name) && !demand.limits.is_excluded(s.key)
    };
    let mut groups = Vec::new();
    for set in &sets {
        let usable = filtered(set, |s| s.is_usable(demand.now) && untried(s));
        let unsuspected = filtered(&usable, |s| !s.is_suspected_by_peer(demand.now));
        let sound = filtered(&unsuspected, |s| {
            !suspect_data_centres.contains(&s.upstream.data_centre)
        });
        let elsewhere = filtered(&sound, |s| {
            !failed_data_centres.contains(&&s.upstream.data_centre)
        });
        groups.extend([elsewhere, sound, unsuspected, usable]);
    }
    groups.retain(|group| !group.is_empty());
    if groups.is_empty() {
        let last_resort = last_resort(&sets.concat(), demand);
        groups.push(filtered(&last_resort, untried));
        groups.retain(|group| !group.is_empty());
    }
    groups
}

/// The data centres of the engines that have failed a stream.
fn failed_data_centres<'a>(table: &'a UpstreamTable, demand: &Demand<'_>) -> Vec<&'a DataCentre> {
    if demand.engine_memory.is_none() {
        return Vec::new();
    }
    // Of an engine that is forgotten by now nothing follows.
    let tried = demand.tried.iter().filter_map(|name| table.get(name));
    tried.map(|s| &s.upstream.data_centre).collect()
}

/// Groups 5 to 7, of those that don't want nothing.
fn last_resort<'a>(
    of_service: &[&'a UpstreamState],
    demand: &Demand<'_>,
) -> Vec<&'a UpstreamState> {
    let of_service = &filtered(of_service, |s| !s.in_wait_period(demand.now));
    let listed = filtered(of_service, UpstreamState::is_listed);
    if !listed.is_empty() {
        return listed;
    }
    let may_be_back =
        |s: &UpstreamState| s.may_still_serve() && s.was_delisted_recently(demand.now);
    let vanished = filtered(of_service, may_be_back);
    if !vanished.is_empty() {
        return vanished;
    }
    filtered(of_service, |s| s.is_last_resort(demand.now))
}

/// The upstreams of a list for which something holds.
pub(crate) fn filtered<'a>(
    states: &[&'a UpstreamState],
    holds: impl Fn(&UpstreamState) -> bool,
) -> Vec<&'a UpstreamState> {
    states.iter().copied().filter(|s| holds(s)).collect()
}
