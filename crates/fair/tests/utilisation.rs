//! Guards against slots that stay idle while they are transferred between
//! routers: many workspaces, short requests, and callers that use few of the
//! routers.

#[allow(dead_code, reason = "each test file uses only some of the simulated fleet")]
mod fleet;

use fleet::{
    Fault, QueueModel, Scenario, WorkspaceLoad,
    checks::{check, run},
};
use span_fair::DispatchPolicy;

/// Smallest cost that the fleet may serve, as a fraction of what the central
/// queue serves.
const MIN_UTILISATION_FRACTION: f64 = 0.97;

struct Case {
    guards_against: &'static str,
    scenario: Scenario,
}

/// Three workspaces with many requests and others with few. Two thirds of a
/// workspace's requests enter at one router, the rest at the next.
fn loads(workspaces: usize, routers: usize, large: u32, small: u32) -> Vec<WorkspaceLoad> {
    let load = |index: usize| {
        let (share, callers) = if index < 3 { (4, large) } else { (1, small) };
        let mut target_requests = vec![0; routers];
        target_requests[index % routers] = callers * 2 / 3;
        target_requests[(index + 1) % routers] = callers - callers * 2 / 3;
        WorkspaceLoad {
            share,
            target_requests,
            counts_waiting_only: false,
            cost_range: (20, 400),
            hint_ratio: (1, 1),
            active_ms: (0, u64::MAX),
        }
    };
    (0..workspaces).map(load).collect()
}

fn scenario(routers: usize, upstreams: usize, loads: Vec<WorkspaceLoad>) -> Scenario {
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
            guards_against: "idle slots of a large service",
            scenario: scenario(6, 18, loads(16, 6, 45, 13)),
        },
        Case {
            guards_against: "idle slots of a small service",
            scenario: scenario(6, 9, loads(16, 6, 23, 7)),
        },
        Case {
            guards_against: "idle slots of a service with few slots for many waiting requests",
            scenario: scenario(6, 3, loads(16, 6, 8, 3)),
        },
        Case {
            guards_against: "idle slots with more routers",
            scenario: scenario(12, 18, loads(16, 12, 45, 13)),
        },
    ]
}

#[test]
fn slots_are_used_while_requests_wait() {
    let mut violations = Vec::new();
    for case in cases() {
        let (central, _) = run(&case.scenario, QueueModel::CentralQueue);
        let (fleet, checks) = run(&case.scenario, QueueModel::Routers(DispatchPolicy::Fleet));
        let fraction = fleet.served.iter().sum::<f64>() / central.served.iter().sum::<f64>();
        println!(
            "{}: {fraction:.3} of the central queue, gap {:.0}, {} messages",
            case.guards_against, checks.max_gap, fleet.messages
        );
        if fraction < MIN_UTILISATION_FRACTION {
            violations.push(format!("{}: {fraction:.3}", case.guards_against));
        }
        violations.extend(
            check(&case.scenario).err().map(|error| format!("{}: {error}", case.guards_against)),
        );
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
