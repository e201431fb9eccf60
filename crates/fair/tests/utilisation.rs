//! Guards against slots that are idle while they change hands: many
//! workspaces, short requests, uneven entry.

#[allow(dead_code, reason = "each test file uses a part of the driver")]
mod fleet;

use fleet::{
    Arrangement, Fault, Load, Scenario,
    checks::{check, run},
};
use span_fair::DispatchPolicy;

/// Least part of what the naive queue serves.
const LEAST_UTILISATION: f64 = 0.97;

struct Case {
    guards: &'static str,
    scenario: Scenario,
}

/// Three large workspaces and small ones, each entering mostly through one
/// router and partly through the next.
fn loads(workspaces: usize, routers: usize, large: u32, small: u32) -> Vec<Load> {
    let load = |index: usize| {
        let (share, callers) = if index < 3 { (4, large) } else { (1, small) };
        let mut depth = vec![0; routers];
        depth[index % routers] = callers * 2 / 3;
        depth[(index + 1) % routers] = callers - callers * 2 / 3;
        Load { share, depth, thin: false, cost: (20, 400), hint: (1, 1), active: (0, u64::MAX) }
    };
    (0..workspaces).map(load).collect()
}

fn scenario(routers: usize, upstreams: usize, loads: Vec<Load>) -> Scenario {
    Scenario {
        routers,
        upstreams,
        slots: 4,
        shards: 1,
        rate: 1_200,
        loads,
        fault: Fault::None,
        fault_ms: (0, 0),
        duration_ms: 20_000,
        seed: 5,
    }
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            guards: "idle slots of a large service",
            scenario: scenario(6, 18, loads(16, 6, 45, 13)),
        },
        Case {
            guards: "idle slots of a small service",
            scenario: scenario(6, 9, loads(16, 6, 23, 7)),
        },
        Case {
            guards: "idle slots of a service with fewer slots than routers hold work",
            scenario: scenario(6, 3, loads(16, 6, 8, 3)),
        },
        Case {
            guards: "idle slots with more routers",
            scenario: scenario(12, 18, loads(16, 12, 45, 13)),
        },
    ]
}

#[test]
fn slots_are_used_while_work_waits() {
    let mut broken = Vec::new();
    for case in cases() {
        let (naive, _) = run(&case.scenario, Arrangement::Naive);
        let (fleet, checks) = run(&case.scenario, Arrangement::Routers(DispatchPolicy::Fleet));
        let part = fleet.served.iter().sum::<f64>() / naive.served.iter().sum::<f64>();
        println!(
            "{}: {part:.3} of the naive queue, gap {:.0}, {} messages",
            case.guards, checks.gap, fleet.messages
        );
        if part < LEAST_UTILISATION {
            broken.push(format!("{}: {part:.3}", case.guards));
        }
        broken.extend(check(&case.scenario).err().map(|error| format!("{}: {error}", case.guards)));
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
