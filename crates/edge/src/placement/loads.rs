//! The load of the upstreams: what they report, and what routers tell each other of it.

use std::collections::BTreeMap;

use span_types::UpstreamName;

use super::Placement;
use crate::{load_summary::ReportedLoad, upstream_load::LoadReport};

/// Age up to which a load report is passed on to other routers, in
/// milliseconds; about the interval between load summaries.
const MAX_FORWARDED_REPORT_AGE_MS: u64 = 600;

impl Placement {
    /// Records the load that an upstream reported.
    pub fn record_report(&mut self, now_ms: u64, name: &UpstreamName, report: LoadReport) {
        if let Some(state) = self.upstreams.get_mut(name) {
            state.report = Some((now_ms, report, state.own_requests));
            if let Some(percent) = report.work_time_percent {
                state.speed.record_stated(now_ms, percent);
            }
        }
    }

    /// Recent load reports of the upstreams, with the low half of the upstream's
    /// name hash.
    pub fn reported_loads(&self, now_ms: u64) -> Vec<(u32, ReportedLoad)> {
        let states = self.upstreams.values();
        let reports = states.filter_map(|state| state.report.map(|report| (state, report)));
        let recent = reports.filter_map(|(state, (at_ms, report, _))| {
            let age_ms = now_ms.saturating_sub(at_ms);
            let requests = report.running + report.waiting;
            let work_time_percent = report.work_time_percent;
            let reported = ReportedLoad { requests, age_ms: age_ms as u32, work_time_percent };
            (age_ms < MAX_FORWARDED_REPORT_AGE_MS).then_some((state.name_hash as u32, reported))
        });
        recent.collect()
    }

    /// Takes over load reports that other routers received, where they are
    /// newer than this router's.
    pub fn merge_reported_loads(
        &mut self,
        now_ms: u64,
        reported_loads: &BTreeMap<u32, ReportedLoad>,
    ) {
        for state in self.upstreams.values_mut() {
            let Some(reported) = reported_loads.get(&(state.name_hash as u32)) else {
                continue;
            };
            let at_ms = now_ms.saturating_sub(u64::from(reported.age_ms));
            if state.report.is_none_or(|(known_ms, _, _)| known_ms < at_ms) {
                let work_time_percent = reported.work_time_percent;
                if let Some(percent) = work_time_percent {
                    state.speed.record_stated(at_ms, percent);
                }
                let (running, slots) = (reported.requests, state.slots);
                let report = LoadReport { running, waiting: 0, slots, work_time_percent };
                state.report = Some((at_ms, report, state.own_requests));
            }
        }
    }

    /// Requests of this router in flight at each upstream, with the low half of the
    /// upstream's name hash, to be told to other routers.
    pub fn report_in_flight(&mut self) -> Vec<(u32, u32)> {
        let mut in_flight = Vec::new();
        for state in self.upstreams.values_mut() {
            state.reported_own_requests = state.own_requests;
            if state.own_requests > 0 {
                in_flight.push((state.name_hash as u32, state.own_requests));
            }
        }
        in_flight
    }

    /// Takes over the requests that all routers had in flight at `taken_ms`, for
    /// upstreams without a newer load report.
    pub fn merge_in_flight(&mut self, taken_ms: u64, in_flight: &BTreeMap<u32, u32>) {
        for state in self.upstreams.values_mut() {
            if state.report.is_some_and(|(known_ms, _, _)| known_ms >= taken_ms) {
                continue;
            }
            let running = in_flight.get(&(state.name_hash as u32)).copied().unwrap_or(0);
            let slots = state.slots;
            let report = LoadReport { running, waiting: 0, slots, work_time_percent: None };
            state.report = Some((taken_ms, report, state.reported_own_requests));
        }
    }
}
