//! Routers and shard owners under message delays and faults, compared with a
//! central queue that knows all requests at once.
//!
//! `SPAN_FAIR_CASES` sets the number of random scenarios.

mod fleet;

use fleet::{Fault, Scenario, WorkspaceLoad, checks::check};
use proptest::{
    prelude::*,
    test_runner::{RngSeed, TestRunner},
};

/// Number of random scenarios if `SPAN_FAIR_CASES` is not set.
const DEFAULT_CASES: u32 = 24;

fn load(routers: usize) -> impl Strategy<Value = WorkspaceLoad> {
    let target_requests =
        prop::collection::vec(prop_oneof![Just(0u32), 1u32..4, 8u32..40], routers);
    let cost_range = prop_oneof![Just((20u64, 200u64)), Just((100, 1_000)), Just((50, 100))];
    let hint_ratio =
        prop_oneof![Just((1u64, 1u64)), Just((10, 1)), Just((1, 10)), Just((1_000_000, 1))];
    let active_ms = prop_oneof![3 => Just((0u64, u64::MAX)), 1 => Just((12_000, u64::MAX)), 1 => Just((0, 9_000))];
    (1u32..5, target_requests, any::<bool>(), cost_range, hint_ratio, active_ms).prop_map(
        |(share, target_requests, counts_waiting_only, cost_range, hint_ratio, active_ms)| {
            let counts_waiting_only =
                counts_waiting_only && target_requests.iter().sum::<u32>() < 12;
            WorkspaceLoad {
                share,
                target_requests,
                counts_waiting_only,
                cost_range,
                hint_ratio,
                active_ms,
            }
        },
    )
}

fn scenario() -> impl Strategy<Value = Scenario> {
    let fault = prop_oneof![
        3 => Just(Fault::None),
        1 => Just(Fault::LostReports),
        1 => Just(Fault::OwnerLoss),
        1 => Just(Fault::RouterLoss),
        1 => Just(Fault::Partition),
    ];
    (2usize..7, 1usize..6, 1u32..5, 1usize..3, fault, any::<u64>()).prop_flat_map(
        |(routers, upstreams, slots, shards, fault, seed)| {
            prop::collection::vec(load(routers), 2..6).prop_map(move |loads| Scenario {
                routers,
                upstreams,
                slots,
                shards: shards.min(upstreams),
                rate: 500,
                loads,
                fault,
                fault_ms: (8_000, 16_000),
                duration_ms: 40_000,
                seed,
            })
        },
    )
}

/// Guards against a combination of sizes, shares, loads, hints and faults that
/// exceeds a bound and has no scenario of its own.
#[test]
fn random_scenarios_stay_within_bounds() {
    let cases = std::env::var("SPAN_FAIR_CASES").ok().and_then(|text| text.parse().ok());
    let config = ProptestConfig {
        cases: cases.unwrap_or(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        max_shrink_iters: 40,
        ..ProptestConfig::default()
    };
    let result = TestRunner::new(config)
        .run(&scenario(), |scenario| check(&scenario).map_err(TestCaseError::fail));
    result.unwrap_or_else(|error| panic!("{error}"));
}
