//! A fleet of separate processes under load, and the checks that must hold after any
//! fault.
#![allow(dead_code, reason = "each test file uses only some of these items")]

use std::{
    collections::{BTreeMap, BTreeSet},
    future::Future,
    path::PathBuf,
    sync::Arc,
    time::Duration,
};

use serde::Deserialize;
use serde_json::Value;
use span_bench::{
    analysis::audit::{Audit, audit},
    args::Policy,
    fleet::{ADMIN_KEY, Fleet, FleetSpec, accepts_key, start_fleet, workspace_config},
    intents::IntentProcesses,
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

/// Time after which a test that hangs fails; no wait takes nearly as long.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Limit of the fleets that run at the same time. With more, the load of the machine
/// would decide the results.
const MAX_CONCURRENT_FLEETS: usize = 4;
static FLEET_PERMITS: Semaphore = Semaphore::const_new(MAX_CONCURRENT_FLEETS);

pub const ROUTER_COUNT: usize = 3;
pub const TOPOLOGY: Topology = Topology {
    failure_domains: &["hall-atl", "hall-bhm", "hall-jxn"],
    model_service: "stitch-assist",
    model_upstream_count: 3,
    plain_service: "booking-desk",
    plain_upstream_count: 2,
    inter_domain_delay_us: 1_000,
    client_delay_us: 1_000,
};

/// Waits until `holds` returns true. Panics with `description` if it does not within
/// [`HANG_TIMEOUT`].
pub async fn wait_until<F, Fut>(description: &str, mut holds: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let wait = async {
        while !holds().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let waited = tokio::time::timeout(HANG_TIMEOUT, wait).await;
    assert!(waited.is_ok(), "{description}: not seen within {} s", HANG_TIMEOUT.as_secs());
}

#[derive(Debug, Deserialize)]
struct RouterStatus {
    revision: u64,
    members: Vec<Member>,
    services: BTreeMap<String, ServiceStatus>,
}

#[derive(Debug, Deserialize)]
struct Member {
    instance: String,
    incarnation: Value,
    state: String,
}

#[derive(Debug, Deserialize)]
struct ServiceStatus {
    owners: BTreeMap<String, String>,
}

/// Configuration revision that one router process had in force.
#[derive(Debug)]
struct ObservedRevision {
    incarnation: String,
    revision: u64,
}

/// Generates a load of model and plain calls from one large and three small workspaces.
pub fn workload(seed: u64, duration_ms: u64) -> Workload {
    generate(&WorkloadSpec {
        seed,
        workspace_count: 4,
        large_workspace_count: 1,
        large_callers: 8,
        small_callers: 3,
        open_per_second: 1.0,
        plain_fraction: 0.5,
        router_count: ROUTER_COUNT,
        duration_ms,
        max_output_tokens: 100,
    })
}

/// A running fleet, its workload, and observers of its configuration revisions.
pub struct TestFleet {
    pub fleet: Fleet,
    pub workload: Workload,
    pub intents: IntentProcesses,
    revision_watchers: Vec<JoinHandle<()>>,
    observed_revisions: Vec<Arc<std::sync::Mutex<Vec<ObservedRevision>>>>,
    folder: PathBuf,
    _permit: SemaphorePermit<'static>,
}

impl TestFleet {
    /// Starts a fleet for the load of [`workload`], with the default policy of the routers.
    pub async fn start(name: &str, seed: u64, duration_ms: u64) -> Self {
        Self::start_with(name, workload(seed, duration_ms), None).await
    }

    pub async fn start_with(name: &str, workload: Workload, policy: Option<Policy>) -> Self {
        let permit = FLEET_PERMITS.acquire().await.expect("never closed");
        let folder = format!("span-proof-{name}-{}", std::process::id()).replace(' ', "-");
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).expect("folder");
        let spec = FleetSpec {
            topology: &TOPOLOGY,
            workload: &workload,
            router_count: ROUTER_COUNT,
            policy,
            control_budget_bytes_per_s: None,
            relay_upstreams: true,
            folder: &folder,
        };
        let fleet =
            start_fleet(&spec).await.expect("all programs are built (cargo build --workspace)");
        let intents = IntentProcesses::start(&fleet).await.expect("the intent API serves");
        let observed_revisions: Vec<Arc<_>> = (0..ROUTER_COUNT).map(|_| Arc::default()).collect();
        let mut test_fleet = Self {
            fleet,
            workload,
            intents,
            revision_watchers: Vec::new(),
            observed_revisions,
            folder,
            _permit: permit,
        };
        test_fleet.watch_revisions();
        test_fleet
    }

    fn watch_revisions(&mut self) {
        for (router, observed_revisions) in self.fleet.routers.iter().zip(&self.observed_revisions)
        {
            let (json_client, name, observed_revisions) = (
                self.fleet.json_client(router.direct_address),
                router.name.clone(),
                observed_revisions.clone(),
            );
            self.revision_watchers.push(tokio::spawn(async move {
                loop {
                    if let Ok(status) =
                        json_client.get_with_key::<RouterStatus>(ADMIN_KEY, "/status").await
                        && let Some(own) =
                            status.members.iter().find(|member| member.instance == name)
                    {
                        let incarnation = own.incarnation.to_string();
                        let observed = ObservedRevision { incarnation, revision: status.revision };
                        observed_revisions.lock().expect("not poisoned").push(observed);
                    }
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }));
        }
    }

    async fn status(&self, router: usize) -> Option<RouterStatus> {
        let json_client = self.fleet.json_client(self.fleet.routers[router].direct_address);
        json_client.get_with_key(ADMIN_KEY, "/status").await.ok()
    }

    /// Waits until all routers agree which router owns the only shard of the model
    /// service, and returns its index.
    pub async fn find_owner(&self) -> usize {
        let mut last_named = 0;
        for _ in 0..HANG_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis() {
            let mut owners = Vec::new();
            for router in 0..ROUTER_COUNT {
                let status = self.status(router).await;
                owners.extend(status.and_then(|mut status| {
                    status.services.remove(TOPOLOGY.model_service)?.owners.remove("0")
                }));
            }
            let agreed =
                owners.len() == ROUTER_COUNT && owners.iter().all(|name| *name == owners[0]);
            let owner_index =
                self.fleet.routers.iter().position(|router| Some(&router.name) == owners.first());
            if let Some(index) = owner_index.filter(|_| agreed) {
                return index;
            }
            last_named = owner_index.unwrap_or(last_named);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("the routers do not agree on an owner; the last one named was router-{last_named}")
    }

    /// Starts the load in a task that returns the records of all attempts.
    pub fn start_load(&self) -> JoinHandle<Vec<AttemptRecord>> {
        let callers = Arc::new(span_load::Fleet {
            routers: self.fleet.router_endpoints(),
            model_service: TOPOLOGY.model_service.into(),
            model: TOPOLOGY.model_service.into(),
            plain_service: TOPOLOGY.plain_service.into(),
        });
        let workload = self.workload.clone();
        tokio::spawn(async move { span_load::run_workload(&workload, callers).await })
    }

    /// Adds a workspace `name` with an API key of the same name. Returns false if the
    /// change is not accepted.
    pub async fn change_configuration(&mut self, name: &str) -> bool {
        let changed = workspace_config(1, &[TOPOLOGY.model_service], name);
        self.fleet.document.workspaces.insert(name.into(), changed);
        self.intents.apply_change(&self.fleet.document).await.is_ok()
    }

    /// Waits until every router accepts the API key.
    pub async fn wait_until_key_accepted(&self, key: &str) {
        for router in &self.fleet.routers {
            let json_client = self.fleet.json_client(router.direct_address);
            let description = format!("{key} in force at {}", router.name);
            wait_until(&description, || accepts_key(&json_client, key)).await;
        }
    }

    /// Waits until every router considers all routers alive.
    pub async fn wait_until_all_alive(&self) {
        for router in 0..ROUTER_COUNT {
            let description = format!("all members alive at router-{router}");
            wait_until(&description, || async {
                let status = self.status(router).await;
                status.is_some_and(|status| {
                    let alive = status.members.iter().filter(|member| member.state == "alive");
                    alive.count() == ROUTER_COUNT
                })
            })
            .await;
        }
    }

    /// Checks that no router process applied a lower revision after a higher one.
    pub fn assert_configuration_never_reverted(&self, case: &str) {
        for (router, observed_revisions) in self.observed_revisions.iter().enumerate() {
            let observed_revisions = observed_revisions.lock().expect("not poisoned");
            assert!(
                !observed_revisions.is_empty(),
                "{case}: no revision of router-{router} was observed"
            );
            for pair in observed_revisions
                .windows(2)
                .filter(|pair| pair[0].incarnation == pair[1].incarnation)
            {
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
        self.revision_watchers.iter().for_each(JoinHandle::abort);
        self.fleet.stop().await;
        // The folder of a failed test is kept for inspection.
        let _ = std::fs::remove_dir_all(self.folder);
    }
}

/// Checks what callers were told against what the upstreams executed.
pub fn assert_guarantees(case: &str, records: &[AttemptRecord], executions: &[Execution]) -> Audit {
    let audit = audit(records, executions);
    println!("{case}: {}", serde_json::to_string(&audit).expect("JSON"));
    assert!(audit.completed > 0, "{case}: nothing completed");
    let violations = [
        ("crossed", audit.crossed),
        ("lost", audit.lost),
        ("not_run_that_ran", audit.not_run_that_ran),
        ("completed_that_did_not_run", audit.completed_that_did_not_run),
        ("duplicated_non_idempotent", audit.duplicated_non_idempotent),
        ("wrong_outcome", audit.wrong_outcome),
    ];
    // All attempts of a request show why its last one went where it did.
    let is_unknown = |record: &&AttemptRecord| record.last && !record.is_result_known();
    let unknown: BTreeSet<&str> =
        records.iter().filter(is_unknown).map(|record| record.name.as_str()).collect();
    let unknown_results: Vec<&AttemptRecord> =
        records.iter().filter(|record| unknown.contains(record.name.as_str())).collect();
    for (name, count) in violations {
        assert_eq!(count, 0, "{case}: {name}; results unknown to the caller: {unknown_results:#?}");
    }
    audit
}

/// Runs a load on a fleet with `faults` active for `fault_ms`. Then checks all
/// guarantees, the configuration and that all routers rejoined.
pub async fn assert_survives_faults(
    case: &str,
    seed: u64,
    fault_ms: u64,
    faults: impl FnOnce(usize, &Fleet) -> Vec<Fault>,
) {
    const LOAD_BEFORE_FAULTS_MS: u64 = 300;
    const LOAD_AFTER_FAULTS_MS: u64 = 700;
    let mut test_fleet =
        TestFleet::start(case, seed, LOAD_BEFORE_FAULTS_MS + fault_ms + LOAD_AFTER_FAULTS_MS).await;
    let faults = faults(test_fleet.find_owner().await, &test_fleet.fleet);
    let load = test_fleet.start_load();
    tokio::time::sleep(Duration::from_millis(LOAD_BEFORE_FAULTS_MS)).await;
    test_fleet.fleet.begin_faults(&faults).await.expect("faults begin");
    let end = tokio::time::Instant::now() + Duration::from_millis(fault_ms);
    let accepted = test_fleet.change_configuration("canary-during").await;
    tokio::time::sleep_until(end).await;
    test_fleet.fleet.end_faults(&faults).await.expect("faults end");
    let records = tokio::time::timeout(HANG_TIMEOUT, load).await;
    let records = records.unwrap_or_else(|_| panic!("{case}: the load hangs")).expect("load");
    // A change that was accepted during the faults must take effect without a
    // further change.
    if accepted {
        test_fleet.wait_until_key_accepted("canary-during").await;
    }
    assert!(
        test_fleet.change_configuration("canary-after").await,
        "{case}: no change is accepted after the faults"
    );
    test_fleet.wait_until_key_accepted("canary-during").await;
    test_fleet.wait_until_key_accepted("canary-after").await;
    test_fleet.wait_until_all_alive().await;
    test_fleet.assert_configuration_never_reverted(case);
    assert_guarantees(case, &records, &test_fleet.executions().await);
    test_fleet.stop().await;
}
