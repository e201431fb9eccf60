//! A fleet of separate processes under load, and the checks that hold after
//! any fault.
#![allow(dead_code, reason = "each test file uses a part")]

use std::{collections::BTreeMap, future::Future, path::PathBuf, sync::Arc, time::Duration};

use serde::Deserialize;
use serde_json::Value;
use span_bench::{
    analysis::audit::{Audit, audit},
    args::Policy,
    fleet::{ADMIN_KEY, Fleet, Plan, knows_key, start, workspace},
    intents::Intents,
    schedule::Fault,
    topology::Topology,
};
use span_load::{
    AttemptRecord,
    workload::{Workload, WorkloadSpec, generate},
};
use span_standin::Execution;
use tokio::{
    sync::{Semaphore, SemaphorePermit},
    task::JoinHandle,
};

/// Ends a test that hangs; far above what any wait takes.
pub const HANG_LIMIT: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(25);
/// Fleets at a time: more would measure the load of the machine.
const FLEETS: usize = 4;
static RUNNING: Semaphore = Semaphore::const_new(FLEETS);

pub const ROUTERS: usize = 3;
pub const TOPOLOGY: Topology = Topology {
    domains: &["hall-atl", "hall-bhm", "hall-jxn"],
    model_service: "stitch-assist",
    model_replicas: 3,
    plain_service: "booking-desk",
    plain_replicas: 2,
    domain_delay_us: 1_000,
    client_delay_us: 1_000,
};

/// Waits for a state; panics with `what` if it never comes.
pub async fn wait_until<F, Fut>(what: &str, mut holds: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let wait = async {
        while !holds().await {
            tokio::time::sleep(POLL).await;
        }
    };
    let waited = tokio::time::timeout(HANG_LIMIT, wait).await;
    assert!(waited.is_ok(), "{what}: not seen within {} s", HANG_LIMIT.as_secs());
}

#[derive(Debug, Deserialize)]
struct Status {
    revision: u64,
    members: Vec<Member>,
    services: BTreeMap<String, Service>,
}

#[derive(Debug, Deserialize)]
struct Member {
    instance: String,
    incarnation: Value,
    state: String,
}

#[derive(Debug, Deserialize)]
struct Service {
    owners: BTreeMap<String, String>,
}

/// A revision that one router process had in force.
#[derive(Debug)]
struct Seen {
    incarnation: String,
    revision: u64,
}

/// A mixed load of one large and three small workspaces.
pub fn workload(seed: u64, duration_ms: u64) -> Workload {
    generate(&WorkloadSpec {
        seed,
        workspace_count: 4,
        large_workspace_count: 1,
        large_callers: 8,
        small_callers: 3,
        open_per_second: 1.0,
        plain_fraction: 0.5,
        router_count: ROUTERS,
        duration_ms,
        max_output_tokens: 100,
    })
}

/// A running fleet with its load.
pub struct Rig {
    pub fleet: Fleet,
    pub workload: Workload,
    pub intents: Intents,
    revisions: Vec<JoinHandle<()>>,
    seen: Vec<Arc<std::sync::Mutex<Vec<Seen>>>>,
    folder: PathBuf,
    _turn: SemaphorePermit<'static>,
}

impl Rig {
    /// A fleet with the usual mixed load.
    pub async fn start(name: &str, seed: u64, duration_ms: u64) -> Self {
        Self::start_with(name, workload(seed, duration_ms), None).await
    }

    pub async fn start_with(name: &str, workload: Workload, policy: Option<Policy>) -> Self {
        let turn = RUNNING.acquire().await.expect("never closed");
        let folder = format!("span-proof-{name}-{}", std::process::id()).replace(' ', "-");
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).expect("folder");
        let plan = Plan {
            topology: &TOPOLOGY,
            workload: &workload,
            routers: ROUTERS,
            policy,
            control_budget: None,
            relay_upstreams: true,
            folder: &folder,
        };
        let fleet = start(&plan).await.expect("all programs are built (cargo build --workspace)");
        let intents = Intents::start(&fleet).await.expect("the intent API serves");
        let seen: Vec<Arc<_>> = (0..ROUTERS).map(|_| Arc::default()).collect();
        let mut rig =
            Self { fleet, workload, intents, revisions: Vec::new(), seen, folder, _turn: turn };
        rig.watch_revisions();
        rig
    }

    fn watch_revisions(&mut self) {
        for (seat, seen) in self.fleet.routers.iter().zip(&self.seen) {
            let (rest, name, seen) =
                (self.fleet.rest(seat.direct), seat.name.clone(), seen.clone());
            self.revisions.push(tokio::spawn(async move {
                loop {
                    if let Ok(status) = rest.get_as::<Status>(ADMIN_KEY, "/status").await
                        && let Some(own) = status.members.iter().find(|row| row.instance == name)
                    {
                        let incarnation = own.incarnation.to_string();
                        let row = Seen { incarnation, revision: status.revision };
                        seen.lock().expect("not poisoned").push(row);
                    }
                    tokio::time::sleep(POLL).await;
                }
            }));
        }
    }

    async fn status(&self, router: usize) -> Option<Status> {
        let rest = self.fleet.rest(self.fleet.routers[router].direct);
        rest.get_as(ADMIN_KEY, "/status").await.ok()
    }

    /// Router that owns the model service's only shard, once all agree.
    pub async fn owner(&self) -> usize {
        let mut owner = 0;
        for _ in 0..HANG_LIMIT.as_millis() / POLL.as_millis() {
            let mut owners = Vec::new();
            for router in 0..ROUTERS {
                let status = self.status(router).await;
                owners.extend(status.and_then(|mut status| {
                    status.services.remove(TOPOLOGY.model_service)?.owners.remove("0")
                }));
            }
            let agreed = owners.len() == ROUTERS && owners.iter().all(|name| *name == owners[0]);
            let seat =
                self.fleet.routers.iter().position(|seat| Some(&seat.name) == owners.first());
            if let Some(seat) = seat.filter(|_| agreed) {
                return seat;
            }
            owner = seat.unwrap_or(owner);
            tokio::time::sleep(POLL).await;
        }
        panic!("the routers do not agree on an owner; the last one named was {owner}")
    }

    /// Starts the load.
    pub fn load(&self) -> JoinHandle<Vec<AttemptRecord>> {
        let callers = Arc::new(span_load::Fleet {
            routers: self.fleet.entries(),
            model_service: TOPOLOGY.model_service.into(),
            model: TOPOLOGY.model_service.into(),
            plain_service: TOPOLOGY.plain_service.into(),
        });
        let workload = self.workload.clone();
        tokio::spawn(async move { span_load::run_workload(&workload, callers).await })
    }

    /// Gives a workspace `name` a key of the same name; false if the change is
    /// not accepted.
    pub async fn change(&mut self, name: &str) -> bool {
        let changed = workspace(1, &[TOPOLOGY.model_service], name);
        self.fleet.document.workspaces.insert(name.into(), changed);
        self.intents.change(&self.fleet.document).await.is_ok()
    }

    /// Waits until each router has accepted the key.
    pub async fn wait_in_force(&self, key: &str) {
        for seat in &self.fleet.routers {
            let rest = self.fleet.rest(seat.direct);
            let what = format!("{key} in force at {}", seat.name);
            wait_until(&what, || knows_key(&rest, key)).await;
        }
    }

    /// Waits until each router sees each other alive.
    pub async fn wait_joined(&self) {
        for router in 0..ROUTERS {
            let what = format!("all members alive at router-{router}");
            wait_until(&what, || async {
                let status = self.status(router).await;
                status.is_some_and(|status| {
                    let alive = status.members.iter().filter(|row| row.state == "alive");
                    alive.count() == ROUTERS
                })
            })
            .await;
        }
    }

    /// Checks that no router process had a lower revision in force after a
    /// higher one.
    pub fn assert_never_reverted(&self, case: &str) {
        for (router, seen) in self.seen.iter().enumerate() {
            let seen = seen.lock().expect("not poisoned");
            assert!(!seen.is_empty(), "{case}: no revision of router-{router} was seen");
            for pair in seen.windows(2).filter(|pair| pair[0].incarnation == pair[1].incarnation) {
                assert!(
                    pair[0].revision <= pair[1].revision,
                    "{case}: router-{router} reverted: {pair:?}"
                );
            }
        }
    }

    pub async fn executions(&self) -> Vec<Execution> {
        let ledgers = self.fleet.ledgers().await.expect("ledgers");
        ledgers.into_values().flatten().collect()
    }

    pub async fn stop(self) {
        self.revisions.iter().for_each(JoinHandle::abort);
        self.fleet.stop().await;
        // The folder of a failed test stays for inspection.
        let _ = std::fs::remove_dir_all(self.folder);
    }
}

/// Checks what callers were told against what ran.
pub fn assert_promises(case: &str, records: &[AttemptRecord], executions: &[Execution]) -> Audit {
    let audit = audit(records, executions);
    println!("{case}: {}", serde_json::to_string(&audit).expect("JSON"));
    assert!(audit.completed > 0, "{case}: nothing completed");
    let broken = [
        ("crossed", audit.crossed),
        ("lost", audit.lost),
        ("not_run_that_ran", audit.not_run_that_ran),
        ("completed_that_did_not_run", audit.completed_that_did_not_run),
        ("duplicated_non_idempotent", audit.duplicated_non_idempotent),
        ("wrong_outcome", audit.wrong_outcome),
    ];
    let unsettled = records.iter().filter(|record| record.last && !record.is_result_known());
    let unsettled: Vec<&AttemptRecord> = unsettled.collect();
    for (name, count) in broken {
        assert_eq!(count, 0, "{case}: {name}; unsettled: {unsettled:#?}");
    }
    audit
}

/// Loads a fleet, puts `faults` in force for `fault_ms`, and checks all
/// promises, the configuration and the recovery.
pub async fn survive(
    case: &str,
    seed: u64,
    fault_ms: u64,
    faults: impl FnOnce(usize, &Fleet) -> Vec<Fault>,
) {
    const BEFORE_MS: u64 = 300;
    const AFTER_MS: u64 = 700;
    let mut rig = Rig::start(case, seed, BEFORE_MS + fault_ms + AFTER_MS).await;
    let faults = faults(rig.owner().await, &rig.fleet);
    let load = rig.load();
    tokio::time::sleep(Duration::from_millis(BEFORE_MS)).await;
    rig.fleet.begin(&faults).await.expect("faults begin");
    let end = tokio::time::Instant::now() + Duration::from_millis(fault_ms);
    let accepted = rig.change("canary-during").await;
    tokio::time::sleep_until(end).await;
    rig.fleet.end(&faults).await.expect("faults end");
    let records = tokio::time::timeout(HANG_LIMIT, load).await;
    let records = records.unwrap_or_else(|_| panic!("{case}: the load hangs")).expect("load");
    // A change that was accepted during the faults is in force without another.
    if accepted {
        rig.wait_in_force("canary-during").await;
    }
    assert!(rig.change("canary-after").await, "{case}: no change is accepted after the faults");
    rig.wait_in_force("canary-during").await;
    rig.wait_in_force("canary-after").await;
    rig.wait_joined().await;
    rig.assert_never_reverted(case);
    assert_promises(case, &records, &rig.executions().await);
    rig.stop().await;
}
