//! Starts and stops the routers, the platform and the upstreams of the demo.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use eyre::{Result, bail};
use span_bench::ports::find_free_address;
use span_config::{Document, KeyHash, Service, Upstream, Workspace};
use span_load::{
    Fleet, RouterEndpoint,
    workload::{Workload, WorkspaceLoad},
};
use span_router::{Router, settings::Settings};
use span_standin::{
    Execution,
    engine::{self, Engine},
    objects::{self, Instance, Platform, Precondition},
    service,
};
use span_types::ServiceKind;

const LOOPBACK_ANY_PORT: &str = "127.0.0.1:0";
const ROUTER_COUNT: usize = 3;
const ENGINE_COUNT: usize = 4;
const ENGINE_SLOTS: u32 = 4;
const PLAIN_SLOTS: u32 = 8;
const FAILURE_DOMAINS: [&str; 3] = ["hall-atl", "hall-bhm", "hall-jxn"];
const MODEL_SERVICE: &str = "stitch-assist";
const PLAIN_SERVICE: &str = "booking-desk";
const CONFIG_OBJECT_KEY: &str = "config/current";
const QUEUE_LIMIT_REQUESTS: u32 = 256;
const REQUEST_DEADLINE_MS: u64 = 10_000;
/// Time limit for the routers to fetch the configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// All servers of the demo.
#[derive(Debug)]
pub struct DemoFleet {
    platform: Platform,
    engines: Vec<Engine>,
    service: service::Service,
    routers: Vec<Router>,
    /// The fleet as callers see it.
    pub fleet: Arc<Fleet>,
}

/// Total number of slots of the model service.
pub const MODEL_SLOTS: u32 = ENGINE_COUNT as u32 * ENGINE_SLOTS;

/// Starts all servers on loopback and waits until the routers are ready.
///
/// # Errors
///
/// Fails if an address cannot be bound or a router is not ready in time.
pub async fn start(workload: &Workload) -> Result<DemoFleet> {
    let listen: SocketAddr = LOOPBACK_ANY_PORT.parse()?;
    let platform = objects::bind(listen).await?;
    let mut engines = Vec::new();
    for _ in 0..ENGINE_COUNT {
        let settings = engine::Settings { slots: ENGINE_SLOTS, ..engine::Settings::default() };
        engines.push(engine::bind(listen, settings).await?);
    }
    let settings = service::Settings { slots: PLAIN_SLOTS, ..service::Settings::default() };
    let service = service::bind(listen, settings).await?;
    let document = build_document(workload, &engines, &service);
    let value = serde_json::to_vec(&document)?;
    platform.edit(|store| store.put(CONFIG_OBJECT_KEY, value, Precondition::Absent))?;
    let mut routers = Vec::new();
    let mut endpoints = Vec::new();
    for (number, failure_domain) in FAILURE_DOMAINS.iter().enumerate().take(ROUTER_COUNT) {
        let settings = router_settings(number, failure_domain, platform.address())?;
        list_instance(&platform, &settings);
        let name = settings.instance.to_string();
        let router = span_router::spawn(settings).await?;
        endpoints.push(RouterEndpoint { name: name.into(), address: router.http_address() });
        routers.push(router);
    }
    let fleet = Arc::new(Fleet {
        routers: endpoints,
        model_service: MODEL_SERVICE.into(),
        model: MODEL_SERVICE.into(),
        plain_service: PLAIN_SERVICE.into(),
    });
    let demo_fleet = DemoFleet { platform, engines, service, routers, fleet };
    demo_fleet.wait_until_ready(&workload.workspaces[0].key).await?;
    Ok(demo_fleet)
}

fn router_settings(
    number: usize,
    failure_domain: &str,
    platform_address: SocketAddr,
) -> Result<Settings> {
    let value = serde_json::json!({
        "instance": format!("router-{number}"),
        "failure_domain": failure_domain,
        "http_address": find_free_address()?,
        "peer_address": find_free_address()?,
        "platform_address": platform_address,
    });
    Ok(serde_json::from_value(value)?)
}

fn list_instance(platform: &Platform, settings: &Settings) {
    let instance = Instance {
        name: settings.instance.to_string(),
        http_address: settings.http_address.to_string(),
        peer_address: settings.peer_address.to_string(),
        failure_domain: settings.failure_domain.to_string(),
        leaving: false,
    };
    platform.edit(|store| store.put_instance(span_standin::unix_us() / 1000, instance));
}

fn build_document(workload: &Workload, engines: &[Engine], service: &service::Service) -> Document {
    let mut document = Document::default();
    let kinds = [(MODEL_SERVICE, ServiceKind::Model), (PLAIN_SERVICE, ServiceKind::Plain)];
    for (name, kind) in kinds {
        let models = match kind {
            ServiceKind::Model => BTreeSet::from([Arc::from(name)]),
            ServiceKind::Plain => BTreeSet::new(),
        };
        document.services.insert(name.into(), Service { kind, idempotent: true, models });
    }
    for (number, engine) in engines.iter().enumerate() {
        let upstream = upstream_config(MODEL_SERVICE, engine.address(), number, ENGINE_SLOTS);
        document.upstreams.insert(format!("{MODEL_SERVICE}-{number}").into(), upstream);
    }
    let upstream = upstream_config(PLAIN_SERVICE, service.address(), 0, PLAIN_SLOTS);
    document.upstreams.insert(format!("{PLAIN_SERVICE}-0").into(), upstream);
    for load in &workload.workspaces {
        document.workspaces.insert(load.name.as_ref().into(), workspace_config(load));
    }
    document
}

fn upstream_config(service: &str, address: SocketAddr, number: usize, slots: u32) -> Upstream {
    Upstream {
        service: service.into(),
        address,
        failure_domain: FAILURE_DOMAINS[number % FAILURE_DOMAINS.len()].into(),
        max_concurrency: slots,
        checks_fencing: false,
        leaving: false,
    }
}

fn workspace_config(load: &WorkspaceLoad) -> Workspace {
    Workspace {
        share: load.share,
        services: BTreeSet::from([MODEL_SERVICE.into(), PLAIN_SERVICE.into()]),
        queue_limit: QUEUE_LIMIT_REQUESTS,
        deadline_ms: REQUEST_DEADLINE_MS,
        keys: BTreeSet::from([KeyHash::of(&load.key)]),
    }
}

impl DemoFleet {
    /// Returns the executions of all upstreams.
    pub fn executions(&self) -> Vec<Execution> {
        let engines = self.engines.iter().flat_map(|engine| engine.ledger().executions());
        engines.chain(self.service.ledger().executions()).collect()
    }

    /// Shuts the routers down gracefully, then stops the stand-ins.
    pub async fn stop(self) {
        let mut leaving = tokio::task::JoinSet::new();
        for router in self.routers {
            // Without a time limit: waits for all requests in flight.
            leaving.spawn(router.shutdown(std::future::pending()));
        }
        leaving.join_all().await;
        for engine in self.engines {
            engine.abort();
        }
        self.service.abort();
        self.platform.abort();
    }

    async fn wait_until_ready(&self, key: &str) -> Result<()> {
        let client = span_http::pooled_client(Duration::from_secs(1));
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        for router in &self.fleet.routers {
            while !accepts_key(&client, router.address, key).await {
                if tokio::time::Instant::now() > deadline {
                    bail!(
                        "{} did not accept an API key within {} s",
                        router.name,
                        READY_TIMEOUT.as_secs()
                    );
                }
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}

/// Whether a router accepts the API key, which shows that it has the configuration.
/// Any status but 401 shows this: the path need not exist, because routers check
/// the key first.
async fn accepts_key(client: &span_http::Client, router: SocketAddr, key: &str) -> bool {
    let request = http::Request::get(format!("http://{router}/v1/addresses"))
        .header(http::header::AUTHORIZATION, format!("Bearer {key}"))
        .body(span_http::empty_body());
    let Ok(request) = request else {
        return false;
    };
    let answer = client.request(request).await;
    answer.is_ok_and(|answer| answer.status() != http::StatusCode::UNAUTHORIZED)
}
