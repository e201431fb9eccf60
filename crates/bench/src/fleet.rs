//! The processes of an experiment: platform, relay, upstreams, routers.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use eyre::{Result, WrapErr, bail};
use http::Method;
use serde::Deserialize;
use serde_json::json;
use span_config::{Document, KeyHash, Service, Upstream, Workspace};
use span_http::Client;
use span_load::{RouterEndpoint, workload::Workload};
use span_standin::{
    Execution,
    objects::Instance,
    relay::{Faults, RouteSettings},
};
use span_types::ServiceKind;

use crate::{
    args::Policy,
    ports::free_address,
    process::{self, Process},
    rest::Rest,
    topology::{CALL_MS, ENGINE_SLOTS, SERVICE_SLOTS, TOKEN_US, Topology},
};

/// Key that opens the status of every router of an experiment.
pub const ADMIN_KEY: &str = "key-bench";
const LOCAL: &str = "127.0.0.1:0";
/// What the configured ceilings of upstreams lie above their slots. Operators know
/// the real concurrency only roughly; routers have to learn it from load reports.
const CEILING_MARGIN: u32 = 2;
const QUEUE_LIMIT: u32 = 256;
const DEADLINE_MS: u64 = 8_000;
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL: Duration = Duration::from_millis(20);
/// Object that holds the configuration in force.
pub const CONFIG_KEY: &str = "config/current";
/// Model of the engine that only probes use.
pub const PROBE_MODEL: &str = "probe-model";
/// Key of the workspace that only probes use.
pub const PROBE_KEY: &str = "key-probe";
const PROBE_SERVICE: &str = "probe";
const PROBE_SLOTS: u32 = 16;
/// Probes ask for one token; a fast one shows the routers' part best.
const PROBE_TOKEN_US: u64 = 1_000;

/// One upstream.
#[derive(Debug)]
pub struct UpstreamProcess {
    /// Its name.
    pub name: String,
    /// Service it serves.
    pub service: &'static str,
    /// Address in the configuration; a relay may stand in between.
    pub address: SocketAddr,
    /// Requests executed at the same time.
    pub slots: u32,
    domain: &'static str,
    process: Process,
}

/// One router's place, with or without a running process.
#[derive(Debug)]
pub struct RouterSeat {
    /// Instance name.
    pub name: String,
    /// Address of the router itself.
    pub direct: SocketAddr,
    /// Address for clients, behind the relay.
    pub entry: SocketAddr,
    settings: PathBuf,
    instance: Instance,
    /// The process, unless it was stopped.
    pub process: Option<Process>,
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// Platform, called directly.
    pub platform: Rest,
    /// Control interface of the relay.
    pub relay: Rest,
    /// Routers.
    pub routers: Vec<RouterSeat>,
    /// Upstreams of the model and the plain service.
    pub upstreams: Vec<UpstreamProcess>,
    /// Engine for probes.
    pub probe: UpstreamProcess,
    /// Configuration as last written.
    pub document: Document,
    /// Its version at the platform.
    pub version: String,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    client: Client,
    /// Platform and relay run as long as the fleet.
    _outside: [Process; 2],
}

/// How a fleet is started.
#[derive(Debug)]
pub struct Plan<'a> {
    /// Deployment.
    pub topology: &'a Topology,
    /// Load whose workspaces are configured.
    pub workload: &'a Workload,
    /// Number of routers.
    pub routers: usize,
    /// Policy for the routers' settings.
    pub policy: Option<Policy>,
    /// Control traffic that each router is allowed, in bytes per second.
    pub control_budget: Option<u64>,
    /// Upstreams stand behind the relay, for faults on their connections.
    pub relay_upstreams: bool,
    /// Folder for settings and logs.
    pub folder: &'a Path,
}

#[derive(Deserialize)]
struct Added {
    address: SocketAddr,
}

/// Starts all processes and waits until each router serves.
///
/// # Errors
///
/// Fails if a process does not start or a router does not serve in time.
pub async fn start(plan: &Plan<'_>) -> Result<Fleet> {
    let client = span_http::pooled_client(Duration::from_secs(1));
    let listen = ["--listen".to_owned(), LOCAL.to_owned()];
    let platform = process::start("standin-platform", "platform", plan.folder, &listen).await?;
    let relay = process::start("standin-relay", "relay", plan.folder, &listen).await?;
    let rest = |address| Rest { client: client.clone(), address };
    let (platform_rest, relay_rest) = (rest(platform.address()), rest(relay.address()));
    let upstreams = start_upstreams(plan, &relay_rest).await?;
    let probe = start_probe(plan.folder).await?;
    let document = document(plan.workload, &upstreams, &probe);
    let version = platform_rest.write_object(CONFIG_KEY, None, &document).await?;
    let mut fleet = Fleet {
        platform: platform_rest,
        relay: relay_rest,
        routers: Vec::new(),
        upstreams,
        probe,
        document,
        version,
        folder: plan.folder.to_owned(),
        client,
        _outside: [platform, relay],
    };
    fleet.start_routers(plan).await?;
    Ok(fleet)
}

async fn start_upstreams(plan: &Plan<'_>, relay: &Rest) -> Result<Vec<UpstreamProcess>> {
    let topology = plan.topology;
    let engines = (0..topology.model_replicas).map(|n| (topology.model_service, ENGINE_SLOTS, n));
    let services = (0..topology.plain_replicas).map(|n| (topology.plain_service, SERVICE_SLOTS, n));
    let mut upstreams = Vec::new();
    for (service, slots, number) in engines.chain(services) {
        let name = format!("{service}-{number}");
        let (program, speed) = match service == topology.model_service {
            true => ("standin-engine", ["--token-us".to_owned(), TOKEN_US.to_string()]),
            false => ("standin-service", ["--call-ms".to_owned(), CALL_MS.to_string()]),
        };
        let process = start_standin(program, &name, plan.folder, slots, speed).await?;
        let mut address = process.address();
        if plan.relay_upstreams {
            address = add_route(relay, &format!("upstream-{name}"), address, 0).await?;
        }
        let domain = topology.domains[number % topology.domains.len()];
        upstreams.push(UpstreamProcess { name, service, address, slots, domain, process });
    }
    Ok(upstreams)
}

async fn start_standin(
    program: &str,
    name: &str,
    folder: &Path,
    slots: u32,
    speed: [String; 2],
) -> Result<Process> {
    let mut args = vec!["--listen".into(), LOCAL.into(), "--slots".into(), slots.to_string()];
    args.extend(speed);
    Ok(process::start(program, name, folder, &args).await?)
}

async fn start_probe(folder: &Path) -> Result<UpstreamProcess> {
    let speed = ["--token-us".to_owned(), PROBE_TOKEN_US.to_string()];
    let process =
        start_standin("standin-engine", PROBE_SERVICE, folder, PROBE_SLOTS, speed).await?;
    Ok(UpstreamProcess {
        name: format!("{PROBE_SERVICE}-0"),
        service: PROBE_SERVICE,
        address: process.address(),
        slots: PROBE_SLOTS,
        domain: "probe",
        process,
    })
}

async fn add_route(
    relay: &Rest,
    name: &str,
    target: SocketAddr,
    delay_us: u64,
) -> Result<SocketAddr> {
    let listen = LOCAL.parse().wrap_err("loopback address")?;
    let settings = RouteSettings { name: name.to_owned(), listen, target, delay_us };
    let added: Added = relay.post("/routes", &settings).await?;
    Ok(added.address)
}

fn document(
    workload: &Workload,
    upstreams: &[UpstreamProcess],
    probe: &UpstreamProcess,
) -> Document {
    let mut document = Document::default();
    for upstream in upstreams.iter().chain([probe]) {
        let model = if upstream.service == PROBE_SERVICE { PROBE_MODEL } else { upstream.service };
        let plain = upstream.service == upstreams[upstreams.len() - 1].service;
        let service = Service {
            kind: if plain { ServiceKind::Plain } else { ServiceKind::Model },
            idempotent: true,
            models: if plain { BTreeSet::new() } else { BTreeSet::from([Arc::from(model)]) },
        };
        document.services.insert(upstream.service.into(), service);
        document.upstreams.insert(upstream.name.as_str().into(), configured(upstream));
    }
    let services = [upstreams[0].service, upstreams[upstreams.len() - 1].service];
    for load in &workload.workspaces {
        let workspace = workspace(load.share, &services, &load.key);
        document.workspaces.insert(load.name.as_ref().into(), workspace);
    }
    let workspace = workspace(1, &[PROBE_SERVICE], PROBE_KEY);
    document.workspaces.insert("probe".into(), workspace);
    document
}

fn configured(upstream: &UpstreamProcess) -> Upstream {
    Upstream {
        service: upstream.service.into(),
        address: upstream.address,
        failure_domain: upstream.domain.into(),
        max_concurrency: upstream.slots + CEILING_MARGIN,
        checks_fencing: false,
        leaving: false,
    }
}

/// A workspace with one key.
pub fn workspace(share: u32, services: &[&str], key: &str) -> Workspace {
    Workspace {
        share,
        services: services.iter().map(|name| (*name).into()).collect(),
        queue_limit: QUEUE_LIMIT,
        deadline_ms: DEADLINE_MS,
        keys: BTreeSet::from([KeyHash::of(key)]),
    }
}

impl Fleet {
    async fn start_routers(&mut self, plan: &Plan<'_>) -> Result<()> {
        for number in 0..plan.routers {
            let seat = self.prepare_router(plan, number).await?;
            let path = format!("/instances/{}", seat.name);
            self.platform.tell(Method::PUT, &path, &seat.instance).await?;
            self.routers.push(seat);
        }
        for number in 0..plan.routers {
            self.start_router(number).await?;
        }
        for seat in &self.routers {
            self.wait_ready(seat).await?;
        }
        Ok(())
    }

    async fn prepare_router(&self, plan: &Plan<'_>, number: usize) -> Result<RouterSeat> {
        let (direct, peer) = (free_address()?, free_address()?);
        let (name, topology) = (format!("router-{number}"), plan.topology);
        let domain = topology.domains[number % topology.domains.len()];
        let route = |kind| format!("{kind}-{number}");
        let entry =
            add_route(&self.relay, &route("client"), direct, topology.client_delay_us).await?;
        let peer_entry =
            add_route(&self.relay, &route("peer"), peer, topology.domain_delay_us).await?;
        let platform = add_route(&self.relay, &route("platform"), self.platform.address, 0).await?;
        let mut settings = json!({
            "instance": name,
            "failure_domain": domain,
            "http_address": entry,
            "http_listen_address": direct,
            "peer_address": peer_entry,
            "peer_listen_address": peer,
            "admin_key_sha256": KeyHash::of(ADMIN_KEY),
            "platform_address": platform,
        });
        if let Some(budget) = plan.control_budget {
            settings["control_budget_bytes_per_s"] = budget.into();
        }
        if let Some(policy) = plan.policy {
            settings["policy"] = policy.to_string().into();
        }
        let path = self.folder.join(format!("{name}.yaml"));
        // JSON is YAML too.
        fs::write(&path, settings.to_string())?;
        let instance = Instance {
            name: name.clone(),
            http_address: entry.to_string(),
            peer_address: peer_entry.to_string(),
            failure_domain: domain.to_owned(),
            leaving: false,
        };
        Ok(RouterSeat { name, direct, entry, settings: path, instance, process: None })
    }

    /// Starts the process of a router that does not run.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start.
    pub async fn start_router(&mut self, number: usize) -> Result<()> {
        let seat = &mut self.routers[number];
        let args = ["--settings".to_owned(), seat.settings.display().to_string()];
        let process =
            process::start("rosemaryspan-router", &seat.name, &self.folder, &args).await?;
        seat.process = Some(process);
        Ok(())
    }

    /// Waits until a router knows the probe's key and so the configuration.
    async fn wait_ready(&self, seat: &RouterSeat) -> Result<()> {
        let rest = self.rest(seat.direct);
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            if knows_key(&rest, PROBE_KEY).await {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL).await;
        }
        bail!("{} does not serve", seat.name)
    }

    /// Client of a server.
    pub fn rest(&self, address: SocketAddr) -> Rest {
        Rest { client: self.client.clone(), address }
    }

    /// Routers as callers reach them.
    pub fn entries(&self) -> Vec<RouterEndpoint> {
        let entry = |seat: &RouterSeat| RouterEndpoint {
            name: seat.name.as_str().into(),
            address: seat.entry,
        };
        self.routers.iter().map(entry).collect()
    }

    /// Writes the changed `document` on condition that nobody else wrote.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not accept it.
    pub async fn write_document(&mut self) -> Result<()> {
        let written =
            self.platform.write_object(CONFIG_KEY, Some(&self.version), &self.document).await?;
        self.version = written;
        Ok(())
    }

    /// Changes the faults of a relay route.
    ///
    /// # Errors
    ///
    /// Fails if the relay does not know the route.
    pub async fn relay_faults(&self, route: &str, faults: Faults) -> Result<()> {
        let path = format!("/routes/{route}/faults");
        Ok(self.relay.tell(Method::POST, &path, &faults).await?)
    }

    /// Executions of all upstreams, by upstream name.
    ///
    /// # Errors
    ///
    /// Fails if an upstream does not answer.
    pub async fn ledgers(&self) -> Result<BTreeMap<String, Vec<Execution>>> {
        let mut ledgers = BTreeMap::new();
        for upstream in &self.upstreams {
            let rest = self.rest(upstream.process.address());
            ledgers.insert(upstream.name.clone(), rest.get("/ledger").await?);
        }
        Ok(ledgers)
    }

    /// Kills all processes of the fleet, each by its own id. A router that is
    /// asked to leave keeps serving for the lifetime of the addresses it gave
    /// out, 10 s; the drain experiment measures that, the others need not wait.
    pub async fn stop(mut self) {
        for seat in &mut self.routers {
            if let Some(mut process) = seat.process.take()
                && let Err(error) = process.kill().await
            {
                tracing::warn!("{}: {error}", seat.name);
            }
        }
    }
}

/// Whether a router accepts a caller's key. The path need not exist: a router
/// checks the key first.
pub async fn knows_key(router: &Rest, key: &str) -> bool {
    let status = router.status("/v1/addresses", key).await;
    status.is_ok_and(|status| status != http::StatusCode::UNAUTHORIZED)
}
