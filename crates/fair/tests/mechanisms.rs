//! One scenario for each mechanism of the crate. Without the mechanism, its
//! scenario exceeds a bound.

mod fleet;

use fleet::{
    Fault, QueueModel, Scenario, WorkspaceLoad,
    checks::{check, run},
};
use span_fair::DispatchPolicy;

const ALWAYS_ACTIVE_MS: (u64, u64) = (0, u64::MAX);

fn load(share: u32, target_requests: &[u32], cost_range: (u64, u64)) -> WorkspaceLoad {
    WorkspaceLoad {
        share,
        target_requests: target_requests.to_vec(),
        counts_waiting_only: false,
        cost_range,
        hint_ratio: (1, 1),
        active_ms: ALWAYS_ACTIVE_MS,
    }
}

fn scenario(loads: Vec<WorkspaceLoad>) -> Scenario {
    Scenario {
        routers: 6,
        upstreams: 6,
        slots: 2,
        shards: 1,
        rate: 500,
        loads,
        fault: Fault::None,
        fault_ms: (10_000, 20_000),
        duration_ms: 60_000,
        seed: 11,
    }
}

/// One workspace with callers at each router, and one with callers at the first
/// router only.
fn uneven() -> Scenario {
    scenario(vec![load(1, &[20], (50, 250)), load(1, &[20, 0, 0, 0, 0, 0], (50, 250))])
}

fn with_fault(fault: Fault) -> Scenario {
    Scenario { fault, ..uneven() }
}

struct Case {
    /// The failure that the case guards against.
    guards_against: &'static str,
    scenario: Scenario,
}

fn cases() -> Vec<Case> {
    let starting_at =
        |start_ms, load: WorkspaceLoad| WorkspaceLoad { active_ms: (start_ms, u64::MAX), ..load };
    let with_hint_ratio = |hint_ratio, load: WorkspaceLoad| WorkspaceLoad { hint_ratio, ..load };
    let counts_waiting_only =
        |load: WorkspaceLoad| WorkspaceLoad { counts_waiting_only: true, ..load };
    vec![
        Case { guards_against: "unequal service between routers", scenario: uneven() },
        Case {
            guards_against: "a share that is applied twice or not at all",
            scenario: scenario(vec![load(1, &[20], (50, 250)), load(4, &[0, 0, 30], (50, 250))]),
        },
        Case {
            guards_against: "credit for idle time",
            scenario: scenario(vec![
                load(1, &[20], (50, 250)),
                starting_at(30_000, load(1, &[20], (50, 250))),
            ]),
        },
        Case {
            guards_against: "many waiting requests that starve a workspace with one",
            scenario: scenario(vec![
                load(1, &[300], (200, 250)),
                counts_waiting_only(load(1, &[0, 0, 0, 0, 1, 0], (50, 250))),
            ]),
        },
        Case {
            guards_against: "an advantage from hints that are too low",
            scenario: scenario(vec![
                with_hint_ratio((1, 1_000_000), load(1, &[20], (50, 250))),
                with_hint_ratio((10, 1), load(1, &[20], (50, 250))),
            ]),
        },
        Case {
            guards_against: "a disadvantage from hints that are far too high",
            scenario: scenario(vec![
                with_hint_ratio((1_000_000, 1), load(1, &[12, 0, 0, 0, 0, 0], (50, 250))),
                load(1, &[20], (50, 250)),
            ]),
        },
        Case {
            guards_against: "slots that stay with routers whose work has ended",
            scenario: scenario(vec![
                WorkspaceLoad { active_ms: (0, 20_000), ..load(1, &[0, 0, 10], (50, 250)) },
                load(1, &[30, 0, 0, 0, 0, 0], (50, 250)),
                load(1, &[0, 1, 0, 1, 0, 1], (20, 50)),
            ]),
        },
        Case {
            guards_against: "two shards that each favour another workspace",
            scenario: Scenario { shards: 2, ..uneven() },
        },
        Case { guards_against: "a lost report", scenario: with_fault(Fault::LostReports) },
        Case { guards_against: "an owner without state", scenario: with_fault(Fault::OwnerLoss) },
        Case { guards_against: "slots of a lost router", scenario: with_fault(Fault::RouterLoss) },
        Case {
            guards_against: "a partition in which one side serves a single workspace",
            scenario: Scenario {
                loads: vec![
                    load(1, &[4, 20, 20], (50, 250)),
                    load(1, &[0, 20, 20], (50, 250)),
                    load(1, &[20, 0, 0, 0, 0, 0], (50, 250)),
                ],
                fault: Fault::Partition,
                fault_ms: (10_000, 70_000),
                duration_ms: 100_000,
                ..uneven()
            },
        },
        Case {
            guards_against: "a new owner that gives credit for idle time",
            scenario: Scenario {
                loads: vec![
                    load(1, &[20], (50, 250)),
                    starting_at(38_000, load(1, &[20], (50, 250))),
                ],
                fault_ms: (40_000, 43_100),
                duration_ms: 75_000,
                ..with_fault(Fault::OwnerLoss)
            },
        },
        Case {
            guards_against: "a queue that always holds one request and gets no more slots",
            scenario: Scenario {
                upstreams: 16,
                slots: 4,
                ..scenario(vec![
                    load(1, &[40], (50, 250)),
                    counts_waiting_only(load(1, &[0, 0, 0, 0, 1, 0], (50, 250))),
                ])
            },
        },
    ]
}

#[test]
fn each_scenario_stays_within_bounds() {
    let violations: Vec<String> = cases()
        .iter()
        .filter_map(|case| {
            Some(format!("{}: {}", case.guards_against, check(&case.scenario).err()?))
        })
        .collect();
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against a bound that any policy keeps: local queues and first come,
/// first served must exceed it with the same seeds. Prints the results of all
/// of them.
#[test]
fn baseline_policies_exceed_the_bound() {
    println!("case, queue model: largest gap, fraction of the bound, idle slot ms, cost served");
    for case in cases().iter().filter(|case| case.scenario.fault == Fault::None) {
        let queue_models = [
            QueueModel::CentralQueue,
            QueueModel::Routers(DispatchPolicy::Fleet),
            QueueModel::Routers(DispatchPolicy::Local),
            QueueModel::Routers(DispatchPolicy::Fcfs),
        ];
        for queue_model in queue_models {
            let (fleet, checks) = run(&case.scenario, queue_model);
            println!(
                "{}, {queue_model:?}: {:.0}, {:.2}, {}, {:.0}",
                case.guards_against,
                checks.max_gap,
                checks.max_gap_fraction_of_bound,
                checks.idle_slot_ms,
                fleet.served.iter().sum::<f64>()
            );
        }
    }
    for policy in [DispatchPolicy::Local, DispatchPolicy::Fcfs] {
        let (_, checks) = run(&uneven(), QueueModel::Routers(policy));
        assert!(
            checks.max_gap_fraction_of_bound > 1.0,
            "{policy}: the gap is only {} of the bound",
            checks.max_gap_fraction_of_bound
        );
    }
}
