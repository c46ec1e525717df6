//! The upstreams that may get an attempt, in groups by preference.
//!
//! Relies on the listings, suspicions and announced departures in the table of upstreams, and on the
//! permits for upstreams that limit their request rate. Owns no state.

use super::Demand;
use crate::upstream::UpstreamState;
use crate::upstream_table::UpstreamTable;
use cloverpier_core::DataCentre;

/// The upstreams that may get the attempt, in groups by preference; a later group counts only where all
/// upstreams of the earlier groups are full. No group is empty.
///
/// An upstream is usable if it is listed and this router does not suspect it. For each set of software
/// versions, in the order of the version rule, the groups are:
///
/// 1. for a stream that was lost: usable engines that respond to probes and that no peer suspects, in data
///    centres that do not seem dead and in which no engine has failed the stream;
/// 2. usable upstreams that respond to probes and that no peer suspects, in data centres that do not seem dead;
/// 3. usable upstreams that respond to probes and that no peer suspects;
/// 4. usable upstreams.
///
/// Where no upstream is usable there is one group, the first of these that is not empty:
///
/// 5. all listed upstreams, including suspected ones;
/// 6. upstreams whose entries expired in an outage of the store within [`crate::suspicion::RELIST_WINDOW`], where no
///    upstream of the service is listed: such an outage removes the entries of running upstreams, too. An entry that
///    is removed while the store is reachable means that its upstream leaves;
/// 7. upstreams that announced within [`crate::leaving::LAST_RESORT_PERIOD`] that they leave, as they still
///    serve requests.
///
/// Group 1 exists because the engines of a data centre fail together, and the first failure is seen before
/// three engines are suspected.
///
/// No group contains an upstream that has requested a pause which has not ended ([`cloverpier_core::wait`]),
/// or an upstream for which there is no permit ([`crate::permit`]).
///
/// A peer's suspicion lowers the preference and excludes no upstream, as it is no proof. While upstreams lose
/// some of their responses to connection resets, each of them is suspected by some of many routers at any
/// time; if suspicions excluded upstreams, all requests would go to the few that no router suspects.
pub(super) fn candidate_groups<'a>(
    table: &'a UpstreamTable,
    demand: &Demand<'_>,
) -> Vec<Vec<&'a UpstreamState>> {
    let sets = demand
        .versions
        .candidate_sets(table.of_service(demand.service).collect());
    let suspect_data_centres = table.suspect_data_centres(demand.service, demand.now);
    let failed_data_centres = failed_data_centres(table, demand);
    let untried = |s: &UpstreamState| {
        !demand.tried.contains(&s.upstream.name) && !demand.limits.is_excluded(s.key)
    };
    let mut groups = Vec::new();
    for set in &sets {
        let usable = filtered(set, |s| s.is_usable(demand.now) && untried(s));
        let unsuspected = filtered(&usable, |s| {
            !s.is_suspected_by_peer(demand.now) && !s.is_unresponsive(demand.now)
        });
        let healthy = filtered(&unsuspected, |s| {
            !suspect_data_centres.contains(&s.upstream.data_centre)
        });
        let other_data_centres = filtered(&healthy, |s| {
            !failed_data_centres.contains(&&s.upstream.data_centre)
        });
        groups.extend([other_data_centres, healthy, unsuspected, usable]);
    }
    groups.retain(|group| !group.is_empty());
    if groups.is_empty() {
        let last_resort = last_resort(&sets.concat(), demand);
        groups.push(filtered(&last_resort, untried));
        groups.retain(|group| !group.is_empty());
    }
    groups
}

/// The data centres of the engines that have failed the demand's stream; empty for plain services.
fn failed_data_centres<'a>(table: &'a UpstreamTable, demand: &Demand<'_>) -> Vec<&'a DataCentre> {
    if demand.engine_memory.is_none() {
        return Vec::new();
    }
    // The data centre of an engine that is no longer in the table is not known.
    let tried = demand.tried.iter().filter_map(|name| table.get(name));
    tried.map(|s| &s.upstream.data_centre).collect()
}

/// The first of the groups 5 to 7 that is not empty, without upstreams that have requested a pause.
fn last_resort<'a>(
    of_service: &[&'a UpstreamState],
    demand: &Demand<'_>,
) -> Vec<&'a UpstreamState> {
    let of_service = &filtered(of_service, |s| !s.in_wait_period(demand.now));
    let listed = filtered(of_service, UpstreamState::is_listed);
    if !listed.is_empty() {
        return listed;
    }
    let may_be_back = |s: &UpstreamState| s.may_still_serve() && s.has_expired_recently(demand.now);
    let vanished = filtered(of_service, may_be_back);
    if !vanished.is_empty() {
        return vanished;
    }
    filtered(of_service, |s| s.is_last_resort(demand.now))
}

/// The upstreams of a list that satisfy a predicate, in the list's order.
pub(crate) fn filtered<'a>(
    states: &[&'a UpstreamState],
    predicate: impl Fn(&UpstreamState) -> bool,
) -> Vec<&'a UpstreamState> {
    states.iter().copied().filter(|s| predicate(s)).collect()
}
