//! One scenario per mechanism, each chosen so that the mechanism's absence
//! breaks a bound.

mod fleet;

use fleet::{
    Arrangement, Fault, Load, Scenario,
    checks::{check, run},
};
use span_fair::DispatchPolicy;

const ALWAYS: (u64, u64) = (0, u64::MAX);

fn load(share: u32, depth: &[u32], cost: (u64, u64)) -> Load {
    Load { share, depth: depth.to_vec(), thin: false, cost, hint: (1, 1), active: ALWAYS }
}

fn scenario(loads: Vec<Load>) -> Scenario {
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

/// A large workspace at every router and a small one at the first only.
fn uneven() -> Scenario {
    scenario(vec![load(1, &[20], (50, 250)), load(1, &[20, 0, 0, 0, 0, 0], (50, 250))])
}

fn with_fault(fault: Fault) -> Scenario {
    Scenario { fault, ..uneven() }
}

struct Case {
    /// The failure that the case guards against.
    guards: &'static str,
    scenario: Scenario,
}

fn cases() -> Vec<Case> {
    let from = |start_ms, load: Load| Load { active: (start_ms, u64::MAX), ..load };
    let hinted = |hint, load: Load| Load { hint, ..load };
    let thin = |load: Load| Load { thin: true, ..load };
    vec![
        Case { guards: "drift between routers", scenario: uneven() },
        Case {
            guards: "a share that counts twice or not at all",
            scenario: scenario(vec![load(1, &[20], (50, 250)), load(4, &[0, 0, 30], (50, 250))]),
        },
        Case {
            guards: "credit from idle time",
            scenario: scenario(vec![
                load(1, &[20], (50, 250)),
                from(30_000, load(1, &[20], (50, 250))),
            ]),
        },
        Case {
            guards: "a flood that starves a workspace with one waiting request",
            scenario: scenario(vec![
                load(1, &[300], (200, 250)),
                thin(load(1, &[0, 0, 0, 0, 1, 0], (50, 250))),
            ]),
        },
        Case {
            guards: "gain from hints that are too low",
            scenario: scenario(vec![
                hinted((1, 1_000_000), load(1, &[20], (50, 250))),
                hinted((10, 1), load(1, &[20], (50, 250))),
            ]),
        },
        Case {
            guards: "loss from hints that are far too high",
            scenario: scenario(vec![
                hinted((1_000_000, 1), load(1, &[12, 0, 0, 0, 0, 0], (50, 250))),
                load(1, &[20], (50, 250)),
            ]),
        },
        Case {
            guards: "slots that stay with routers whose work has ended",
            scenario: scenario(vec![
                Load { active: (0, 20_000), ..load(1, &[0, 0, 10], (50, 250)) },
                load(1, &[30, 0, 0, 0, 0, 0], (50, 250)),
                load(1, &[0, 1, 0, 1, 0, 1], (20, 50)),
            ]),
        },
        Case {
            guards: "two shards that each favour another workspace",
            scenario: Scenario { shards: 2, ..uneven() },
        },
        Case { guards: "a lost report", scenario: with_fault(Fault::LostReports) },
        Case { guards: "an owner without state", scenario: with_fault(Fault::OwnerLoss) },
        Case { guards: "slots of a lost router", scenario: with_fault(Fault::RouterLoss) },
        Case {
            guards: "a partition whose one side serves one workspace only",
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
            guards: "a new owner that forgets that idle time is no credit",
            scenario: Scenario {
                loads: vec![load(1, &[20], (50, 250)), from(38_000, load(1, &[20], (50, 250)))],
                fault_ms: (40_000, 43_100),
                duration_ms: 75_000,
                ..with_fault(Fault::OwnerLoss)
            },
        },
        Case {
            guards: "a queue of one request that is refilled at once and never grows",
            scenario: Scenario {
                upstreams: 16,
                slots: 4,
                ..scenario(vec![
                    load(1, &[40], (50, 250)),
                    thin(load(1, &[0, 0, 0, 0, 1, 0], (50, 250))),
                ])
            },
        },
    ]
}

#[test]
fn each_mechanism_keeps_its_bound() {
    let broken: Vec<String> = cases()
        .iter()
        .filter_map(|case| Some(format!("{}: {}", case.guards, check(&case.scenario).err()?)))
        .collect();
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against a bound that any arrangement keeps: local queues and arrival
/// order break it under the same seeds. Prints the figures of the comparison.
#[test]
fn baselines_break_the_bound() {
    println!("case, arrangement: largest gap, part of the bound, idle slot ms, cost served");
    for case in cases().iter().filter(|case| case.scenario.fault == Fault::None) {
        let arrangements = [
            Arrangement::Naive,
            Arrangement::Routers(DispatchPolicy::Fleet),
            Arrangement::Routers(DispatchPolicy::Local),
            Arrangement::Routers(DispatchPolicy::Fcfs),
        ];
        for arrangement in arrangements {
            let (fleet, checks) = run(&case.scenario, arrangement);
            println!(
                "{}, {arrangement:?}: {:.0}, {:.2}, {}, {:.0}",
                case.guards,
                checks.gap,
                checks.gap_of_bound,
                checks.idle_slot_ms,
                fleet.served.iter().sum::<f64>()
            );
        }
    }
    for policy in [DispatchPolicy::Local, DispatchPolicy::Fcfs] {
        let (_, checks) = run(&uneven(), Arrangement::Routers(policy));
        assert!(checks.gap_of_bound > 1.0, "{policy} keeps {} of the bound", checks.gap_of_bound);
    }
}
