//! The faults of section 1.4 of the design, one at a time and together, over
//! separate processes under load. After each, records and ledgers must show
//! that every promise to callers held, and the fleet must be whole again.

mod fleet;

use fleet::{ROUTERS, survive};
use span_bench::schedule::{Fault, schedule};
use span_standin::{objects, relay};

const SHORT_MS: u64 = 1_500;
/// Longer than it takes to declare a router dead (3 s) and for an allocation
/// to become invalid (5 s).
const PAST_VALIDITY_MS: u64 = 5_500;
const SEEDS: u64 = 2;
/// Number of seeds for [`faults_from_seeds`], for longer runs.
const SEEDS_VARIABLE: &str = "SPAN_PROOF_SEEDS";

struct Case {
    name: &'static str,
    fault_ms: u64,
    /// Faults, given the owner of the model service's shard.
    faults: fn(usize) -> Vec<Fault>,
}

async fn run(seed: u64, cases: &[Case]) {
    for case in cases {
        survive(case.name, seed, case.fault_ms, |owner, _| (case.faults)(owner)).await;
    }
}

fn other(owner: usize) -> usize {
    (owner + 1) % ROUTERS
}

fn third(owner: usize) -> usize {
    (owner + 2) % ROUTERS
}

fn route(name: String, faults: relay::Faults) -> Fault {
    Fault::Route { name, faults }
}

fn cut(to_target: bool, to_client: bool) -> relay::Faults {
    relay::Faults { cut_to_target: to_target, cut_to_client: to_client, ..relay::Faults::default() }
}

fn silent() -> relay::Faults {
    relay::Faults { silence_open: true, ..relay::Faults::default() }
}

fn platform(change: fn(&mut objects::Faults)) -> Fault {
    let mut faults = objects::Faults::default();
    change(&mut faults);
    Fault::Platform(faults)
}

/// Guards against requests that are lost or run twice when a router dies and
/// comes back with no state.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn router_killed_and_restarted() {
    run(
        11,
        &[
            Case {
                name: "router killed",
                fault_ms: SHORT_MS,
                faults: |o| vec![Fault::Kill(other(o))],
            },
            Case { name: "owner killed", fault_ms: SHORT_MS, faults: |o| vec![Fault::Kill(o)] },
        ],
    )
    .await;
}

/// Guards against a router that acts on an allocation or on ownership that it
/// lost while it was paused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn router_frozen_and_resumed() {
    run(
        12,
        &[
            Case {
                name: "router frozen",
                fault_ms: SHORT_MS,
                faults: |o| vec![Fault::Freeze(other(o))],
            },
            Case {
                name: "owner frozen",
                fault_ms: PAST_VALIDITY_MS,
                faults: |o| vec![Fault::Freeze(o)],
            },
        ],
    )
    .await;
}

/// Guards against sides of a partition that serve nothing, revert the
/// configuration or do not rejoin.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peers_cut() {
    run(
        13,
        &[
            Case {
                name: "peer cut towards it",
                fault_ms: SHORT_MS,
                faults: |o| vec![route(format!("peer-{o}"), cut(true, false))],
            },
            Case {
                name: "peer cut from it",
                fault_ms: SHORT_MS,
                faults: |o| vec![route(format!("peer-{o}"), cut(false, true))],
            },
            Case {
                name: "all peers cut",
                fault_ms: PAST_VALIDITY_MS,
                faults: |_| {
                    (0..ROUTERS).map(|n| route(format!("peer-{n}"), cut(true, true))).collect()
                },
            },
        ],
    )
    .await;
}

/// Guards against answers lost or crossed when the path to callers or
/// upstreams is cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_and_upstreams_cut() {
    run(
        14,
        &[
            Case {
                name: "callers cut one way",
                fault_ms: SHORT_MS,
                faults: |o| vec![route(format!("client-{o}"), cut(false, true))],
            },
            Case {
                name: "engine cut",
                fault_ms: SHORT_MS,
                faults: |_| vec![route("upstream-stitch-assist-0".into(), cut(true, true))],
            },
        ],
    )
    .await;
}

/// Guards against waits for ever on connections that carry nothing any more
/// although new ones work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_silent() {
    run(
        15,
        &[
            Case {
                name: "peers silent",
                fault_ms: SHORT_MS,
                faults: |_| (0..ROUTERS).map(|n| route(format!("peer-{n}"), silent())).collect(),
            },
            Case {
                name: "callers silent",
                fault_ms: SHORT_MS,
                faults: |o| vec![route(format!("client-{o}"), silent())],
            },
            Case {
                name: "upstreams silent",
                fault_ms: SHORT_MS,
                faults: |_| {
                    let names = ["upstream-stitch-assist-1", "upstream-booking-desk-0"];
                    names.map(|name| route(name.into(), silent())).to_vec()
                },
            },
        ],
    )
    .await;
}

/// Guards against traffic that depends on the object API, and against a write
/// whose lost answer is taken for a failure or repeated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn platform_fails() {
    run(
        16,
        &[
            Case {
                name: "platform down",
                fault_ms: SHORT_MS,
                faults: |_| vec![platform(|f| f.down = true)],
            },
            Case {
                name: "platform slow",
                fault_ms: SHORT_MS,
                faults: |_| vec![platform(|f| f.delay_ms = 700)],
            },
            Case {
                name: "answers lost",
                fault_ms: SHORT_MS,
                faults: |_| vec![platform(|f| f.lose_write_answers = true)],
            },
        ],
    )
    .await;
}

/// Guards against a configuration that waits for a watch which stays stale,
/// and against a late instance list that keeps a dead router in use.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn platform_is_late() {
    run(
        17,
        &[
            Case {
                name: "watches stale",
                fault_ms: SHORT_MS,
                faults: |_| vec![platform(|f| f.stale_watches = true)],
            },
            Case {
                name: "list late and a router killed",
                fault_ms: SHORT_MS,
                faults: |o| vec![platform(|f| f.list_lag_ms = 3_000), Fault::Kill(other(o))],
            },
        ],
    )
    .await;
}

/// Guards against recovery from one fault that depends on what another one
/// took away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faults_together() {
    run(
        18,
        &[
            Case {
                name: "owner killed and platform down",
                fault_ms: SHORT_MS,
                faults: |o| vec![Fault::Kill(o), platform(|f| f.down = true)],
            },
            Case {
                name: "owner frozen, other cut, answers lost",
                fault_ms: PAST_VALIDITY_MS,
                faults: |o| {
                    vec![
                        Fault::Freeze(o),
                        route(format!("peer-{}", other(o)), cut(true, true)),
                        platform(|f| f.lose_write_answers = true),
                    ]
                },
            },
            Case {
                name: "two killed and an engine silent",
                fault_ms: SHORT_MS,
                faults: |o| {
                    vec![
                        Fault::Kill(o),
                        Fault::Kill(third(o)),
                        route("upstream-stitch-assist-2".into(), silent()),
                    ]
                },
            },
        ],
    )
    .await;
}

/// Guards against combinations that nobody listed: faults from fixed seeds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faults_from_seeds() {
    let seeds = std::env::var(SEEDS_VARIABLE).ok();
    let seeds = seeds.map_or(SEEDS, |text| text.parse().expect("a number of seeds"));
    for seed in 1..=seeds {
        survive(&format!("seed {seed}"), seed, SHORT_MS, |_, fleet| {
            let upstreams: Vec<String> = fleet.upstreams.iter().map(|up| up.name.clone()).collect();
            let episodes = schedule(seed, 5_000, ROUTERS, &upstreams);
            println!("seed {seed}: {:?}", episodes[0].faults);
            episodes[0].faults.clone()
        })
        .await;
    }
}
