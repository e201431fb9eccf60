//! Runs several control threads on loopback, with stand-ins for platform and
//! upstreams.

pub mod relay;

use std::{net::SocketAddr, time::Duration};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use relay::Relay;
use serde_json::json;
use span_fair::DispatchPolicy;
use span_http::{Body, Limits, Server};
use span_member::{MembershipTiming, Router};
use span_router::control::{
    AdmitRequest, Handle, MintedState, Permit, Rejection, Settings, Status, start,
};
use span_standin::objects::{self, Platform, Precondition};
use span_types::{Incarnation, Member, MemberState, Revision};
use tokio::{sync::mpsc, task::JoinHandle};

/// Time after which a wait fails the test.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

pub const SERVICE: &str = "stitch-assist";

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// An upstream that only answers load polls, with an empty queue.
pub async fn idle_engine(slots: u32) -> Server {
    let handler = move |_: Request<Incoming>, _| async move {
        let load = json!({ "running": 0, "waiting": 0, "slots": slots, "age_ms": 0 });
        let response: Response<Body> = span_http::json_response(StatusCode::OK, &load);
        response
    };
    span_http::serve(loopback(), Limits::default(), handler).await.expect("bind failed")
}

/// Platform and routers of one test.
pub struct Fleet {
    pub platform: Platform,
    pub routers: Vec<Handle>,
    policy: DispatchPolicy,
    timing: MembershipTiming,
}

impl Fleet {
    /// Starts `count` routers that discover each other through the instance list.
    pub async fn start(count: usize, policy: DispatchPolicy) -> Self {
        let platform = objects::bind(loopback()).await.expect("bind failed");
        let mut fleet =
            Self { platform, routers: Vec::new(), policy, timing: MembershipTiming::default() };
        for index in 0..count {
            let handle = fleet.start_router(index, 1, loopback());
            fleet.routers.push(handle);
        }
        fleet
    }

    /// Starts `count` routers that connect to each other through relays.
    pub async fn start_behind_relays(count: usize, timing: MembershipTiming) -> (Self, Vec<Relay>) {
        let mut fleet = Self::start(0, DispatchPolicy::Fleet).await;
        fleet.timing = timing;
        let mut relays = Vec::new();
        for index in 0..count {
            let free = std::net::TcpListener::bind(loopback()).expect("bind failed");
            let listen = free.local_addr().expect("bind failed");
            drop(free);
            let relay = Relay::start(listen).await;
            let handle = fleet.start_router_at(index, 1, relay.address, Some(listen));
            fleet.routers.push(handle);
            relays.push(relay);
        }
        (fleet, relays)
    }

    /// Starts a router without adding it to the list.
    pub fn start_router(&self, index: usize, incarnation: u64, peer_address: SocketAddr) -> Handle {
        self.start_router_at(index, incarnation, peer_address, None)
    }

    fn start_router_at(
        &self,
        index: usize,
        incarnation: u64,
        peer_address: SocketAddr,
        listen_address: Option<SocketAddr>,
    ) -> Handle {
        let mut settings = Settings::new(Router {
            member: Member {
                instance: format!("router-{index}").into(),
                incarnation: Incarnation(incarnation),
            },
            http_address: SocketAddr::from(([127, 0, 0, 1], 9_000 + index as u16)),
            peer_address,
            failure_domain: ["hall-atl", "hall-bhm", "hall-jxn"][index % 3].into(),
            processor_millicores: 0,
        });
        settings.platform_address = Some(self.platform.address());
        settings.listen_address = listen_address;
        settings.policy = self.policy;
        settings.timing = self.timing;
        settings.minted = std::sync::Arc::new(|id| match id.seq {
            7 => MintedState::Completed,
            _ => MintedState::Unused,
        });
        start(settings).expect("the control thread did not start")
    }

    /// Stores a configuration with the given upstreams and workspaces.
    pub fn configure(&self, engines: &[(SocketAddr, u32)], workspaces: &[&str]) -> Revision {
        let upstreams = engines.iter().enumerate().map(|(index, (address, slots))| {
            let row = json!({
                "service": SERVICE, "address": address, "failure_domain": "hall-atl",
                "max_concurrency": slots, "checks_fencing": true, "leaving": false,
            });
            (format!("engine-{index}"), row)
        });
        let upstreams: serde_json::Map<_, _> = upstreams.collect();
        let workspaces = workspaces.iter().map(|name| {
            let row = json!({
                "share": 1, "services": [SERVICE], "queue_limit": 100,
                "deadline_ms": 60_000, "keys": [],
            });
            ((*name).to_owned(), row)
        });
        let workspaces: serde_json::Map<_, _> = workspaces.collect();
        let document = json!({
            "workspaces": workspaces, "upstreams": upstreams, "operators": {},
            "services": { SERVICE: { "kind": "model", "idempotent": true, "models": ["m"] } },
        });
        let value = document.to_string().into_bytes();
        let version = self.platform.edit(|store| {
            store.put("config/current", value, Precondition::None).expect("put failed")
        });
        Revision(version)
    }

    /// Waits until each router sees exactly `live` live members and has the
    /// revision in force.
    pub async fn wait_until_converged(&self, live: usize, revision: Revision) {
        for router in &self.routers {
            wait_for(router, |status| {
                let alive = status.members.iter().filter(|row| row.state == MemberState::Alive);
                alive.count() == live && status.revision == revision
            })
            .await;
        }
    }
}

/// Waits until the status of a router satisfies the condition.
pub async fn wait_for(router: &Handle, condition: impl Fn(&Status) -> bool) -> Status {
    let poll = async {
        loop {
            let status = router.status().await.expect("the control thread has ended");
            if condition(&status) {
                return status;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    match tokio::time::timeout(TEST_TIMEOUT, poll).await {
        Ok(status) => status,
        Err(_) => panic!(
            "the condition was not met in time; the last status is {:#?}",
            router.status().await
        ),
    }
}

/// Submits a request of a workspace.
pub fn admit(router: &Handle, workspace: &str) -> JoinHandle<Result<Permit, Rejection>> {
    let router = router.clone();
    let request = AdmitRequest {
        workspace: workspace.into(),
        service: SERVICE.into(),
        prompt_cost: 10,
        cost_hint: None,
        prefix: None,
        avoid: Vec::new(),
    };
    tokio::spawn(async move { router.admit(request).await })
}

/// Waits until the request has its permit.
pub async fn wait_for_permit(admitted: JoinHandle<Result<Permit, Rejection>>) -> Permit {
    let result = tokio::time::timeout(TEST_TIMEOUT, admitted).await.expect("no answer in time");
    result.expect("the task failed").expect("the request was rejected")
}

/// Sends the permit of a request with a label to a channel, once it is granted.
pub fn forward_permit(
    admitted: JoinHandle<Result<Permit, Rejection>>,
    label: &'static str,
    granted: &mpsc::UnboundedSender<(&'static str, Permit)>,
) {
    let granted = granted.clone();
    tokio::spawn(async move {
        // Fails if the test has ended.
        let _ = granted.send((label, wait_for_permit(admitted).await));
    });
}

/// Receives the next granted permit with its label.
pub async fn next_permit(
    grants: &mut mpsc::UnboundedReceiver<(&'static str, Permit)>,
) -> (&'static str, Permit) {
    let next = tokio::time::timeout(TEST_TIMEOUT, grants.recv()).await;
    next.expect("no permit was granted").expect("the channel is closed")
}
