//! Tests of the faults of section 1.4 of the design, one at a time and combined, with
//! separate processes under load. After each, records and ledgers must show that every
//! guarantee to callers held, and all routers must have rejoined the fleet.

mod fleet;

use fleet::{ROUTER_COUNT, assert_survives_faults};
use span_bench::schedule::{Fault, fault_schedule};
use span_standin::{objects, relay};

const SHORT_FAULT_MS: u64 = 1_500;
/// Exceeds the time until a router is declared dead (3 s) and until an allocation
/// becomes invalid (5 s).
const BEYOND_VALIDITY_MS: u64 = 5_500;
const DEFAULT_SEED_COUNT: u64 = 2;
/// Environment variable with the number of seeds of [`faults_from_seeds`], for longer
/// runs.
const SEED_COUNT_VARIABLE: &str = "SPAN_PROOF_SEEDS";

struct Case {
    name: &'static str,
    fault_ms: u64,
    /// Returns the faults, given the owner of the shard of the model service.
    faults: fn(usize) -> Vec<Fault>,
}

async fn run_cases(seed: u64, cases: &[Case]) {
    for case in cases {
        assert_survives_faults(case.name, seed, case.fault_ms, |owner, _| (case.faults)(owner))
            .await;
    }
}

fn other_router(owner: usize) -> usize {
    (owner + 1) % ROUTER_COUNT
}

fn third_router(owner: usize) -> usize {
    (owner + 2) % ROUTER_COUNT
}

fn route_fault(name: String, faults: relay::Faults) -> Fault {
    Fault::Route { name, faults }
}

fn cut(to_target: bool, to_client: bool) -> relay::Faults {
    relay::Faults { cut_to_target: to_target, cut_to_client: to_client, ..relay::Faults::default() }
}

fn silence() -> relay::Faults {
    relay::Faults { silence_open: true, ..relay::Faults::default() }
}

fn platform_fault(change: fn(&mut objects::Faults)) -> Fault {
    let mut faults = objects::Faults::default();
    change(&mut faults);
    Fault::Platform(faults)
}

/// Guards against requests that are lost or run twice when a router is killed and
/// restarts without its state.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn router_killed_and_restarted() {
    run_cases(
        11,
        &[
            Case {
                name: "router killed",
                fault_ms: SHORT_FAULT_MS,
                faults: |o| vec![Fault::Kill(other_router(o))],
            },
            Case {
                name: "owner killed",
                fault_ms: SHORT_FAULT_MS,
                faults: |o| vec![Fault::Kill(o)],
            },
        ],
    )
    .await;
}

/// Guards against a router that acts on an allocation or an ownership that it lost
/// while it was stopped.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn router_frozen_and_resumed() {
    run_cases(
        12,
        &[
            Case {
                name: "router frozen",
                fault_ms: SHORT_FAULT_MS,
                faults: |o| vec![Fault::Freeze(other_router(o))],
            },
            Case {
                name: "owner frozen",
                fault_ms: BEYOND_VALIDITY_MS,
                faults: |o| vec![Fault::Freeze(o)],
            },
        ],
    )
    .await;
}

/// Guards against routers on a side of a network partition that serve nothing, revert
/// the configuration or do not rejoin.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peers_cut() {
    run_cases(
        13,
        &[
            Case {
                name: "peer cut towards it",
                fault_ms: SHORT_FAULT_MS,
                faults: |o| vec![route_fault(format!("peer-{o}"), cut(true, false))],
            },
            Case {
                name: "peer cut from it",
                fault_ms: SHORT_FAULT_MS,
                faults: |o| vec![route_fault(format!("peer-{o}"), cut(false, true))],
            },
            Case {
                name: "all peers cut",
                fault_ms: BEYOND_VALIDITY_MS,
                faults: |_| {
                    (0..ROUTER_COUNT)
                        .map(|n| route_fault(format!("peer-{n}"), cut(true, true)))
                        .collect()
                },
            },
        ],
    )
    .await;
}

/// Guards against answers that are lost or belong to another request when the network
/// path to callers or upstreams is cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_and_upstreams_cut() {
    run_cases(
        14,
        &[
            Case {
                name: "callers cut one way",
                fault_ms: SHORT_FAULT_MS,
                faults: |o| vec![route_fault(format!("client-{o}"), cut(false, true))],
            },
            Case {
                name: "engine cut",
                fault_ms: SHORT_FAULT_MS,
                faults: |_| vec![route_fault("upstream-stitch-assist-0".into(), cut(true, true))],
            },
        ],
    )
    .await;
}

/// Guards against waiting for ever on open connections that deliver nothing any more,
/// although new connections work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_silent() {
    run_cases(
        15,
        &[
            Case {
                name: "peers silent",
                fault_ms: SHORT_FAULT_MS,
                faults: |_| {
                    (0..ROUTER_COUNT).map(|n| route_fault(format!("peer-{n}"), silence())).collect()
                },
            },
            Case {
                name: "callers silent",
                fault_ms: SHORT_FAULT_MS,
                faults: |o| vec![route_fault(format!("client-{o}"), silence())],
            },
            Case {
                name: "upstreams silent",
                fault_ms: SHORT_FAULT_MS,
                faults: |_| {
                    let names = ["upstream-stitch-assist-1", "upstream-booking-desk-0"];
                    names.map(|name| route_fault(name.into(), silence())).to_vec()
                },
            },
        ],
    )
    .await;
}

/// Guards against requests that fail without the object API, and against a write that
/// is treated as failed or retried because its answer was lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn platform_fails() {
    run_cases(
        16,
        &[
            Case {
                name: "platform down",
                fault_ms: SHORT_FAULT_MS,
                faults: |_| vec![platform_fault(|f| f.down = true)],
            },
            Case {
                name: "platform slow",
                fault_ms: SHORT_FAULT_MS,
                faults: |_| vec![platform_fault(|f| f.delay_ms = 700)],
            },
            Case {
                name: "answers lost",
                fault_ms: SHORT_FAULT_MS,
                faults: |_| vec![platform_fault(|f| f.lose_write_answers = true)],
            },
        ],
    )
    .await;
}

/// Guards against a configuration change that takes effect only once a stale watch
/// reports it, and against an outdated instance list that keeps a dead router in use.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn platform_is_late() {
    run_cases(
        17,
        &[
            Case {
                name: "watches stale",
                fault_ms: SHORT_FAULT_MS,
                faults: |_| vec![platform_fault(|f| f.stale_watches = true)],
            },
            Case {
                name: "list late and a router killed",
                fault_ms: SHORT_FAULT_MS,
                faults: |o| {
                    vec![platform_fault(|f| f.list_lag_ms = 3_000), Fault::Kill(other_router(o))]
                },
            },
        ],
    )
    .await;
}

/// Guards against a recovery from one fault that depends on something that another
/// fault makes unavailable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faults_together() {
    run_cases(
        18,
        &[
            Case {
                name: "owner killed and platform down",
                fault_ms: SHORT_FAULT_MS,
                faults: |o| vec![Fault::Kill(o), platform_fault(|f| f.down = true)],
            },
            Case {
                name: "owner frozen, other cut, answers lost",
                fault_ms: BEYOND_VALIDITY_MS,
                faults: |o| {
                    vec![
                        Fault::Freeze(o),
                        route_fault(format!("peer-{}", other_router(o)), cut(true, true)),
                        platform_fault(|f| f.lose_write_answers = true),
                    ]
                },
            },
            Case {
                name: "two killed and an engine silent",
                fault_ms: SHORT_FAULT_MS,
                faults: |o| {
                    vec![
                        Fault::Kill(o),
                        Fault::Kill(third_router(o)),
                        route_fault("upstream-stitch-assist-2".into(), silence()),
                    ]
                },
            },
        ],
    )
    .await;
}

/// Guards against combinations of faults that no other test covers, with faults derived
/// from fixed seeds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faults_from_seeds() {
    let seed_count = std::env::var(SEED_COUNT_VARIABLE).ok();
    let seed_count =
        seed_count.map_or(DEFAULT_SEED_COUNT, |text| text.parse().expect("a number of seeds"));
    for seed in 1..=seed_count {
        assert_survives_faults(&format!("seed {seed}"), seed, SHORT_FAULT_MS, |_, fleet| {
            let upstreams: Vec<String> = fleet.upstreams.iter().map(|up| up.name.clone()).collect();
            let episodes = fault_schedule(seed, 5_000, ROUTER_COUNT, &upstreams);
            println!("seed {seed}: {:?}", episodes[0].faults);
            episodes[0].faults.clone()
        })
        .await;
    }
}
