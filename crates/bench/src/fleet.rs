//! Starts and controls the processes of an experiment: platform, relay, upstreams
//! and routers.

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
    json_client::JsonClient,
    ports::find_free_address,
    process::{self, Process},
    topology::{ENGINE_SLOTS, ENGINE_TOKEN_US, SERVICE_CALL_MS, SERVICE_SLOTS, Topology},
};

/// Admin key of all routers, needed to read their status.
pub const ADMIN_KEY: &str = "key-bench";
const LOOPBACK_ANY_PORT: &str = "127.0.0.1:0";
/// Amount by which the configured concurrency of an upstream exceeds its slots.
/// Operators know the real concurrency only roughly, so routers must learn it from
/// load reports.
const CONCURRENCY_MARGIN_SLOTS: u32 = 2;
const QUEUE_LIMIT_REQUESTS: u32 = 256;
const REQUEST_DEADLINE_MS: u64 = 8_000;
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Key of the object that holds the accepted configuration.
pub const CONFIG_OBJECT_KEY: &str = "config/current";
/// Model name of the engine that only probes use.
pub const PROBE_MODEL: &str = "probe-model";
/// API key of the workspace that only probes use.
pub const PROBE_KEY: &str = "key-probe";
const PROBE_SERVICE: &str = "probe";
const PROBE_SLOTS: u32 = 16;
/// Time in which the probe engine generates the single token of a probe. It is short
/// so that the latency added by the routers stands out.
const PROBE_TOKEN_US: u64 = 1_000;

/// A running upstream.
#[derive(Debug)]
pub struct UpstreamProcess {
    /// Name of the upstream.
    pub name: String,
    /// Name of the service that it belongs to.
    pub service: &'static str,
    /// Address in the configuration, which may be that of a relay route.
    pub address: SocketAddr,
    /// Largest number of concurrent requests.
    pub slots: u32,
    failure_domain: &'static str,
    process: Process,
}

/// One router instance and its process, which may be stopped.
#[derive(Debug)]
pub struct RouterInstance {
    /// Instance name.
    pub name: String,
    /// Address that the router listens on, without the relay.
    pub direct_address: SocketAddr,
    /// Address of the relay route through which clients reach the router.
    pub client_address: SocketAddr,
    settings_path: PathBuf,
    instance: Instance,
    /// The process; `None` if it was stopped.
    pub process: Option<Process>,
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// Client of the platform, without the relay.
    pub platform: JsonClient,
    /// Client of the relay's control interface.
    pub relay: JsonClient,
    /// Routers, by their number.
    pub routers: Vec<RouterInstance>,
    /// Upstreams of the model service, then those of the plain service.
    pub upstreams: Vec<UpstreamProcess>,
    /// Engine that only probes use.
    pub probe_engine: UpstreamProcess,
    /// Configuration that was written last.
    pub document: Document,
    /// Version of the configuration object at the platform.
    pub version: String,
    /// Folder for the settings and logs of the processes.
    pub folder: PathBuf,
    client: Client,
    /// Kept so that platform and relay run as long as the fleet.
    _platform_and_relay: [Process; 2],
}

/// Parameters of a fleet.
#[derive(Debug)]
pub struct FleetSpec<'a> {
    /// Deployment to start.
    pub topology: &'a Topology,
    /// Workload whose workspaces are configured.
    pub workload: &'a Workload,
    /// Number of routers.
    pub router_count: usize,
    /// Dispatch policy of the routers; `None` for their default.
    pub policy: Option<Policy>,
    /// Limit of the control traffic of each router, in bytes per second; `None` for the
    /// routers' default.
    pub control_budget_bytes_per_s: Option<u64>,
    /// Whether routers reach the upstreams through the relay, so that faults can be
    /// injected into their connections.
    pub relay_upstreams: bool,
    /// Folder for the settings and logs of the processes.
    pub folder: &'a Path,
}

#[derive(Deserialize)]
struct AddRouteResponse {
    address: SocketAddr,
}

/// Starts all processes and waits until each router is ready.
///
/// # Errors
///
/// Fails if a process does not start or a router is not ready in time.
pub async fn start_fleet(spec: &FleetSpec<'_>) -> Result<Fleet> {
    let client = span_http::pooled_client(Duration::from_secs(1));
    let listen = ["--listen".to_owned(), LOOPBACK_ANY_PORT.to_owned()];
    let platform = process::start("standin-platform", "platform", spec.folder, &listen).await?;
    let relay = process::start("standin-relay", "relay", spec.folder, &listen).await?;
    let json_client = |address| JsonClient { client: client.clone(), address };
    let (platform_client, relay_client) =
        (json_client(platform.address()), json_client(relay.address()));
    let upstreams = start_upstreams(spec, &relay_client).await?;
    let probe_engine = start_probe_engine(spec.folder).await?;
    let document = build_document(spec.workload, &upstreams, &probe_engine);
    let version = platform_client.write_object(CONFIG_OBJECT_KEY, None, &document).await?;
    let mut fleet = Fleet {
        platform: platform_client,
        relay: relay_client,
        routers: Vec::new(),
        upstreams,
        probe_engine,
        document,
        version,
        folder: spec.folder.to_owned(),
        client,
        _platform_and_relay: [platform, relay],
    };
    fleet.start_routers(spec).await?;
    Ok(fleet)
}

async fn start_upstreams(spec: &FleetSpec<'_>, relay: &JsonClient) -> Result<Vec<UpstreamProcess>> {
    let topology = spec.topology;
    let engines =
        (0..topology.model_upstream_count).map(|n| (topology.model_service, ENGINE_SLOTS, n));
    let services =
        (0..topology.plain_upstream_count).map(|n| (topology.plain_service, SERVICE_SLOTS, n));
    let mut upstreams = Vec::new();
    for (service, slots, number) in engines.chain(services) {
        let name = format!("{service}-{number}");
        let (program, speed_option) = match service == topology.model_service {
            true => ("standin-engine", ["--token-us".to_owned(), ENGINE_TOKEN_US.to_string()]),
            false => ("standin-service", ["--call-ms".to_owned(), SERVICE_CALL_MS.to_string()]),
        };
        let process = start_standin(program, &name, spec.folder, slots, speed_option).await?;
        let mut address = process.address();
        if spec.relay_upstreams {
            address = add_route(relay, &format!("upstream-{name}"), address, 0).await?;
        }
        let failure_domain = topology.failure_domains[number % topology.failure_domains.len()];
        upstreams.push(UpstreamProcess { name, service, address, slots, failure_domain, process });
    }
    Ok(upstreams)
}

async fn start_standin(
    program: &str,
    name: &str,
    folder: &Path,
    slots: u32,
    speed_option: [String; 2],
) -> Result<Process> {
    let mut args =
        vec!["--listen".into(), LOOPBACK_ANY_PORT.into(), "--slots".into(), slots.to_string()];
    args.extend(speed_option);
    Ok(process::start(program, name, folder, &args).await?)
}

async fn start_probe_engine(folder: &Path) -> Result<UpstreamProcess> {
    let speed_option = ["--token-us".to_owned(), PROBE_TOKEN_US.to_string()];
    let process =
        start_standin("standin-engine", PROBE_SERVICE, folder, PROBE_SLOTS, speed_option).await?;
    Ok(UpstreamProcess {
        name: format!("{PROBE_SERVICE}-0"),
        service: PROBE_SERVICE,
        address: process.address(),
        slots: PROBE_SLOTS,
        failure_domain: "probe",
        process,
    })
}

async fn add_route(
    relay: &JsonClient,
    name: &str,
    target: SocketAddr,
    delay_us: u64,
) -> Result<SocketAddr> {
    let listen = LOOPBACK_ANY_PORT.parse().wrap_err("loopback address")?;
    let settings = RouteSettings { name: name.to_owned(), listen, target, delay_us };
    let response: AddRouteResponse = relay.post("/routes", &settings).await?;
    Ok(response.address)
}

fn build_document(
    workload: &Workload,
    upstreams: &[UpstreamProcess],
    probe_engine: &UpstreamProcess,
) -> Document {
    let mut document = Document::default();
    for upstream in upstreams.iter().chain([probe_engine]) {
        let model = if upstream.service == PROBE_SERVICE { PROBE_MODEL } else { upstream.service };
        let is_plain = upstream.service == upstreams[upstreams.len() - 1].service;
        let service = Service {
            kind: if is_plain { ServiceKind::Plain } else { ServiceKind::Model },
            idempotent: true,
            models: if is_plain { BTreeSet::new() } else { BTreeSet::from([Arc::from(model)]) },
        };
        document.services.insert(upstream.service.into(), service);
        document.upstreams.insert(upstream.name.as_str().into(), upstream_config(upstream));
    }
    let services = [upstreams[0].service, upstreams[upstreams.len() - 1].service];
    for load in &workload.workspaces {
        let workspace = workspace_config(load.share, &services, &load.key);
        document.workspaces.insert(load.name.as_ref().into(), workspace);
    }
    let workspace = workspace_config(1, &[PROBE_SERVICE], PROBE_KEY);
    document.workspaces.insert("probe".into(), workspace);
    document
}

fn upstream_config(upstream: &UpstreamProcess) -> Upstream {
    Upstream {
        service: upstream.service.into(),
        address: upstream.address,
        failure_domain: upstream.failure_domain.into(),
        max_concurrency: upstream.slots + CONCURRENCY_MARGIN_SLOTS,
        checks_fencing: false,
        leaving: false,
    }
}

/// Returns the configuration of a workspace with one API key.
pub fn workspace_config(share: u32, services: &[&str], key: &str) -> Workspace {
    Workspace {
        share,
        services: services.iter().map(|name| (*name).into()).collect(),
        queue_limit: QUEUE_LIMIT_REQUESTS,
        deadline_ms: REQUEST_DEADLINE_MS,
        keys: BTreeSet::from([KeyHash::of(key)]),
    }
}

impl Fleet {
    async fn start_routers(&mut self, spec: &FleetSpec<'_>) -> Result<()> {
        for number in 0..spec.router_count {
            let router = self.create_router(spec, number).await?;
            let path = format!("/instances/{}", router.name);
            self.platform.send_json(Method::PUT, &path, &router.instance).await?;
            self.routers.push(router);
        }
        for number in 0..spec.router_count {
            self.start_router(number).await?;
        }
        for router in &self.routers {
            self.wait_until_ready(router).await?;
        }
        Ok(())
    }

    async fn create_router(&self, spec: &FleetSpec<'_>, number: usize) -> Result<RouterInstance> {
        let (direct_address, peer_listen_address) = (find_free_address()?, find_free_address()?);
        let (name, topology) = (format!("router-{number}"), spec.topology);
        let failure_domain = topology.failure_domains[number % topology.failure_domains.len()];
        let route_name = |kind| format!("{kind}-{number}");
        let client_address =
            add_route(&self.relay, &route_name("client"), direct_address, topology.client_delay_us)
                .await?;
        let peer_address = add_route(
            &self.relay,
            &route_name("peer"),
            peer_listen_address,
            topology.inter_domain_delay_us,
        )
        .await?;
        let platform_address =
            add_route(&self.relay, &route_name("platform"), self.platform.address, 0).await?;
        let mut settings = json!({
            "instance": name,
            "failure_domain": failure_domain,
            "http_address": client_address,
            "http_listen_address": direct_address,
            "peer_address": peer_address,
            "peer_listen_address": peer_listen_address,
            "admin_key_sha256": KeyHash::of(ADMIN_KEY),
            "platform_address": platform_address,
        });
        if let Some(budget) = spec.control_budget_bytes_per_s {
            settings["control_budget_bytes_per_s"] = budget.into();
        }
        if let Some(policy) = spec.policy {
            settings["policy"] = policy.to_string().into();
        }
        let path = self.folder.join(format!("{name}.yaml"));
        // JSON is valid YAML.
        fs::write(&path, settings.to_string())?;
        let instance = Instance {
            name: name.clone(),
            http_address: client_address.to_string(),
            peer_address: peer_address.to_string(),
            failure_domain: failure_domain.to_owned(),
            leaving: false,
        };
        Ok(RouterInstance {
            name,
            direct_address,
            client_address,
            settings_path: path,
            instance,
            process: None,
        })
    }

    /// Starts the process of a stopped router.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start.
    pub async fn start_router(&mut self, number: usize) -> Result<()> {
        let router = &mut self.routers[number];
        let args = ["--settings".to_owned(), router.settings_path.display().to_string()];
        let process =
            process::start("rosemaryspan-router", &router.name, &self.folder, &args).await?;
        router.process = Some(process);
        Ok(())
    }

    /// Waits until a router accepts the key of the probes, which shows that it has the
    /// configuration.
    async fn wait_until_ready(&self, router: &RouterInstance) -> Result<()> {
        let json_client = self.json_client(router.direct_address);
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        while tokio::time::Instant::now() < deadline {
            if accepts_key(&json_client, PROBE_KEY).await {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        bail!(
            "{} did not accept the key of the probes within {} s",
            router.name,
            READY_TIMEOUT.as_secs()
        )
    }

    /// Returns a client of the server at `address`.
    pub fn json_client(&self, address: SocketAddr) -> JsonClient {
        JsonClient { client: self.client.clone(), address }
    }

    /// Returns the addresses at which callers reach the routers.
    pub fn router_endpoints(&self) -> Vec<RouterEndpoint> {
        let endpoint = |router: &RouterInstance| RouterEndpoint {
            name: router.name.as_str().into(),
            address: router.client_address,
        };
        self.routers.iter().map(endpoint).collect()
    }

    /// Writes `document` to the platform on condition that no other process has changed
    /// the stored configuration.
    ///
    /// # Errors
    ///
    /// Fails if the platform rejects the write.
    pub async fn write_document(&mut self) -> Result<()> {
        let new_version = self
            .platform
            .write_object(CONFIG_OBJECT_KEY, Some(&self.version), &self.document)
            .await?;
        self.version = new_version;
        Ok(())
    }

    /// Replaces the faults of a relay route.
    ///
    /// # Errors
    ///
    /// Fails if the relay does not know the route.
    pub async fn set_relay_faults(&self, route: &str, faults: Faults) -> Result<()> {
        let path = format!("/routes/{route}/faults");
        Ok(self.relay.send_json(Method::POST, &path, &faults).await?)
    }

    /// Reads the ledgers of all upstreams, by upstream name.
    ///
    /// # Errors
    ///
    /// Fails if an upstream does not answer.
    pub async fn ledgers(&self) -> Result<BTreeMap<String, Vec<Execution>>> {
        let mut ledgers = BTreeMap::new();
        for upstream in &self.upstreams {
            let json_client = self.json_client(upstream.process.address());
            ledgers.insert(upstream.name.clone(), json_client.get("/ledger").await?);
        }
        Ok(ledgers)
    }

    /// Kills all processes of the fleet, each by its own process id: waits for the end
    /// of the routers, and leaves the other processes to be killed as they are dropped.
    /// A router that is asked to leave continues for the lifetime of the addresses it
    /// returned to callers, 10 s. Only the drain experiment measures this; the others
    /// need not wait.
    pub async fn stop(mut self) {
        for router in &mut self.routers {
            if let Some(mut process) = router.process.take()
                && let Err(error) = process.kill().await
            {
                tracing::warn!("cannot kill {}: {error}", router.name);
            }
        }
    }
}

/// Whether a router accepts an API key. The path need not exist, because routers
/// check the key first.
pub async fn accepts_key(router: &JsonClient, key: &str) -> bool {
    let status = router.status("/v1/addresses", key).await;
    status.is_ok_and(|status| status != http::StatusCode::UNAUTHORIZED)
}
