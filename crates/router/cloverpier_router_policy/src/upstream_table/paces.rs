//! Records in the table how long work takes at upstreams.
//!
//! How evidence counts is defined in [`crate::pace`]. Owns no state besides that of [`UpstreamTable`].

use super::UpstreamTable;
use crate::first_event::FirstEventSample;
use crate::pace::{MAX_REPORTS, PaceReport, StatedPace};
use crate::upstream::UpstreamState;
use cloverpier_core::{ServiceName, UpstreamName};
use std::collections::HashSet;
use std::time::Instant;

impl UpstreamTable {
    /// Records the pace that an upstream has stated.
    pub fn on_stated_pace(&mut self, name: &UpstreamName, pace: StatedPace, now: Instant) {
        let Some(state) = self.upstreams.get_mut(name) else {
            return;
        };
        if state.known_pace.on_stated(pace, now) {
            self.pace_news.insert(state.key);
        }
        mark_paced(&mut self.paced_services, &state.upstream.service);
    }

    /// Records an unreadable statement of an upstream's load. Returns whether it is logged.
    pub fn on_unreadable_load(&mut self, name: &UpstreamName, now: Instant) -> bool {
        let state = self.upstreams.get_mut(name);
        state.is_some_and(|s| s.known_pace.on_unreadable(now))
    }

    /// Records the first event of an attempt: it shows the rate at which engines of the service read prompts, and whether
    /// the upstream's pace is another one than is known.
    pub fn on_first_event(&mut self, name: &UpstreamName, sample: FirstEventSample, now: Instant) {
        let Some(state) = self.upstreams.get_mut(name) else {
            return;
        };
        let service = &state.upstream.service;
        let least = self.prompt_rates.least_pace(service, sample);
        if least.is_some_and(|f| state.known_pace.on_observed(f, now)) {
            self.pace_news.insert(state.key);
        }
        self.prompt_rates
            .on_first_event(&state.upstream.service, sample);
    }

    /// Whether upstreams of a service state their pace.
    pub fn states_pace(&self, service: &ServiceName) -> bool {
        self.paced_services.contains(service)
    }

    /// Returns the reports that peers have to be told, at most [`MAX_REPORTS`], about upstreams for which `is_told` is
    /// true. The others are not told. Empty where no upstream states a pace.
    pub fn take_pace_reports(
        &mut self,
        is_told: impl Fn(&UpstreamState) -> bool,
        now: Instant,
    ) -> Vec<PaceReport> {
        let mut reports = Vec::new();
        while reports.len() < MAX_REPORTS {
            let Some(key) = self.pace_news.pop_first() else {
                break;
            };
            let name = self.by_key.get(&key);
            let Some(state) = name.and_then(|name| self.upstreams.get_mut(name)) else {
                continue;
            };
            if is_told(state) {
                reports.push(state.known_pace.report(key, now));
            }
        }
        reports
    }

    /// Records a peer's reports. Reports of unknown upstreams are ignored.
    pub fn on_pace_reports(&mut self, reports: &[PaceReport], now: Instant) {
        for report in reports {
            let name = self.by_key.get(&report.upstream);
            if let Some(state) = name.and_then(|name| self.upstreams.get_mut(name)) {
                state.known_pace.on_report(report, now);
                mark_paced(&mut self.paced_services, &state.upstream.service);
            }
        }
    }
}

/// Records that upstreams of a service state their pace.
fn mark_paced(paced: &mut HashSet<ServiceName>, service: &ServiceName) {
    if !paced.contains(service) {
        paced.insert(service.clone());
    }
}
