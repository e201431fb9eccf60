//! Bound on the gap, from section 3.4 of the design.

use super::ServiceRun;

/// Quantities of a run that the bound depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BoundTerms {
    /// Total number of slots.
    pub slots: u32,
    /// Largest cost of a request, in cost units.
    pub largest_cost: u64,
    /// Largest serving rate of a slot, in cost units per second.
    pub slot_rate: f64,
    /// Report period plus round trip, in seconds.
    pub information_age_s: f64,
}

const US_PER_S: f64 = 1e6;

impl BoundTerms {
    /// Computes the terms of a run. The serving rate of a slot is measured on executions
    /// of at least `min_duration_us`, because the clock's resolution distorts it for
    /// shorter ones.
    pub fn from_run(run: &ServiceRun, information_age_s: f64, min_duration_us: u64) -> Self {
        let rates = run.served.iter().filter_map(|served| {
            let duration_us = served.end_us.saturating_sub(served.start_us);
            (duration_us >= min_duration_us.max(1))
                .then(|| served.cost as f64 * US_PER_S / duration_us as f64)
        });
        Self {
            slots: run.slots,
            largest_cost: run.served.iter().map(|served| served.cost).max().unwrap_or(0),
            slot_rate: rates.fold(0.0, f64::max),
            information_age_s,
        }
    }

    /// Returns `N · (2·Lmax + ρ·A·(1 + ⌈log2 N⌉)) / s` for the smaller share `s`.
    pub fn bound(&self, smaller_share: f64) -> f64 {
        let slots = f64::from(self.slots);
        let periods = 1.0 + f64::from(ceil_log2(self.slots));
        let cost_while_stale = self.slot_rate * self.information_age_s * periods;
        slots * (2.0 * self.largest_cost as f64 + cost_while_stale) / smaller_share
    }
}

fn ceil_log2(n: u32) -> u32 {
    n.max(1).next_power_of_two().trailing_zeros()
}
