//! Caller side: authentication, routing of paths, and proxying to upstreams.

mod admin;
mod answer;
mod attempts;
mod auth;
mod body;
mod chat;
mod claim_store;
mod claims;
mod config_index;
mod headers;
mod idempotency;
mod in_flight;
mod json_answer;
mod plain;
mod sse;
mod stream;
mod upstream;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use span_config::Document;
use span_http::{Body, Client, json_response};
use span_once::{RegistryLimits, RetryBudget};
use span_platform::PlatformClient;
use span_types::{Member, Outcome, RequestId};
use tokio::{
    sync::{Semaphore, watch},
    time::{Instant, sleep_until},
};
use tracing::Instrument;

use crate::{
    control::{self, AdmitRequest, AttemptResult, Permit, Rejection},
    drain::DrainPlan,
    minted::MintedIds,
    settings::Settings,
    trace,
};
use answer::{Failure, failure_response, set_outcome_headers};
use auth::Caller;
use claims::Claims;
use config_index::ConfigIndex;
use in_flight::InFlight;
pub use in_flight::InFlightRequest;

/// How far the planned stop of the router is.
#[derive(Clone, Copy, Debug, Default)]
struct DrainState {
    /// Steps of the stop; `None` before it begins.
    plan: Option<DrainPlan>,
    /// Whether open requests are answered with an error.
    is_interrupted: bool,
}

/// State shared by all requests of callers.
pub(crate) struct Frontend {
    /// Instance and incarnation of this router.
    pub member: Member,
    /// Settings of the router.
    pub settings: Settings,
    /// Configuration in force, with its indexes.
    pub index: ArcSwap<ConfigIndex>,
    /// Handle of the control thread.
    pub control: control::Handle,
    /// Client for upstreams that pools its connections.
    pub pooled_client: Client,
    /// Client for upstreams that opens a connection for each request.
    pub unpooled_client: Client,
    /// Request ids minted by this router.
    pub minted: MintedIds,
    /// Time for which an unused minted key is valid.
    pub key_lifetime_ms: u64,
    /// Claims on idempotency keys that callers choose.
    pub claims: Arc<Claims>,
    /// Requests that are waiting or running.
    pub in_flight: InFlight,
    /// Bytes that answers of engines may still occupy.
    pub answer_memory: Arc<Semaphore>,
    closed: AtomicBool,
    drain: watch::Sender<DrainState>,
    last_seq: AtomicU64,
    retry_budget: Mutex<RetryBudget>,
    rng: Mutex<ChaCha8Rng>,
}

impl Frontend {
    /// Creates the caller side of a router.
    pub fn new(
        settings: Settings,
        member: Member,
        control: control::Handle,
        minted: MintedIds,
        platform: PlatformClient,
    ) -> Arc<Self> {
        let connect_timeout = Duration::from_millis(settings.timeouts.connect_ms);
        let pooled_client = span_http::pooled_client(connect_timeout);
        Arc::new(Self {
            index: ArcSwap::default(),
            unpooled_client: span_http::unpooled_client(connect_timeout),
            pooled_client,
            minted,
            key_lifetime_ms: RegistryLimits::default().lifetime_ms,
            claims: Claims::new(platform),
            in_flight: InFlight::default(),
            answer_memory: Arc::new(Semaphore::new(
                settings.limits.buffered_answer_bytes.min(Semaphore::MAX_PERMITS),
            )),
            closed: AtomicBool::new(false),
            drain: watch::Sender::default(),
            last_seq: AtomicU64::new(0),
            retry_budget: Mutex::default(),
            // The incarnation is the start time, which differs between routers,
            // so they do not draw the same backoff delays.
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(member.incarnation.0)),
            control,
            member,
            settings,
        })
    }

    /// Puts a configuration in force.
    pub fn configure(&self, document: Arc<Document>) {
        self.index.store(Arc::new(ConfigIndex::new(document)));
    }

    /// Rejects new requests; waiting and running ones continue.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    /// Starts only requests that can end before the router does.
    pub fn leave(&self, plan: DrainPlan) {
        self.drain.send_modify(|state| state.plan = Some(plan));
    }

    /// Answers the requests in flight with an error.
    pub fn interrupt(&self) {
        self.drain.send_modify(|state| state.is_interrupted = true);
    }

    /// Returns once open requests have to be answered with an error.
    async fn interrupted(&self) {
        // Fails only if the frontend is gone.
        let _ = self.drain.subscribe().wait_for(|state| state.is_interrupted).await;
    }

    /// Time in which an upstream must make progress with a request.
    fn answer_limit(&self) -> Duration {
        Duration::from_millis(self.settings.timeouts.answer_ms)
    }

    /// Rejects a request that may take longer than a leaving router lives.
    fn check_start(&self, now: Instant) -> Result<(), Rejection> {
        match self.drain.borrow().plan {
            Some(plan) if !plan.may_start(now, self.answer_limit()) => Err(Rejection::ShuttingDown),
            _ => Ok(()),
        }
    }

    /// Waits for a slot for as long as requests may start.
    async fn admit(&self, request: AdmitRequest) -> Result<Permit, Rejection> {
        let starts_are_over = async {
            let mut drain = self.drain.subscribe();
            let Ok(Some(plan)) =
                drain.wait_for(|state| state.plan.is_some()).await.map(|state| state.plan)
            else {
                return;
            };
            if let Some(last_start) = plan.last_start(self.answer_limit()) {
                sleep_until(last_start).await;
            }
        };
        let mut permit = tokio::select! {
            biased;
            permit = self.control.admit(request) => permit?,
            () = starts_are_over => return Err(Rejection::ShuttingDown),
        };
        if let Err(rejection) = self.check_start(Instant::now()) {
            permit.set_result(AttemptResult::Abandoned);
            return Err(rejection);
        }
        Ok(permit)
    }

    /// A request id that this incarnation has not used yet.
    pub fn next_request_id(&self) -> RequestId {
        RequestId {
            instance: self.member.instance.clone(),
            incarnation: self.member.incarnation,
            seq: self.last_seq.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }
}

/// Handles one request of a caller.
pub(crate) async fn handle(frontend: Arc<Frontend>, request: Request<Incoming>) -> Response<Body> {
    let id = frontend.next_request_id();
    let span = tracing::info_span!(
        target: trace::REQUEST_SPAN_TARGET,
        "caller",
        otel.kind = "server",
        request_id = %id,
    );
    trace::set_parent_from_headers(&span, request.headers());
    let result = route(&frontend, &id, request).instrument(span).await;
    result.unwrap_or_else(|error| failure_response(&id, &error))
}

/// The answer on a connection above the limit.
pub(crate) fn reject_connection(frontend: &Frontend) -> Response<Body> {
    let message =
        format!("more than {} connections are open", frontend.settings.limits.connections);
    let status = StatusCode::SERVICE_UNAVAILABLE;
    failure_response(
        &frontend.next_request_id(),
        &Failure::not_run(status, "too_many_connections", message),
    )
}

async fn route(
    frontend: &Arc<Frontend>,
    id: &RequestId,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    if frontend.closed.load(Ordering::Relaxed) {
        return Err(Rejection::ShuttingDown.into());
    }
    let index = frontend.index.load_full();
    if let Some(answer) = admin::answer(frontend, &index, id, &request).await {
        return answer;
    }
    let caller = auth::authenticate(&index, request.headers())?;
    let entry = frontend.in_flight.add(InFlightRequest {
        id: id.clone(),
        workspace: caller.workspace.clone(),
        path: request.uri().path().to_owned(),
    });
    let response = tokio::select! {
        biased;
        response = handle_caller(frontend, &index, id, caller, request) => response?,
        () = frontend.interrupted() => return Err(interruption(entry.may_have_run())),
    };
    Ok(response.map(|body| entry.track_body(body)))
}

/// The failure of a request that is open shortly before the router ends.
fn interruption(may_have_run: bool) -> Failure {
    if !may_have_run {
        return Rejection::ShuttingDown.into();
    }
    let message = "the router ends before the answer is complete";
    Failure::new(Outcome::Unknown, StatusCode::GATEWAY_TIMEOUT, "shutting_down", message)
}

async fn handle_caller(
    frontend: &Arc<Frontend>,
    index: &ConfigIndex,
    id: &RequestId,
    caller: Caller,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let path = request.uri().path();
    if path.starts_with("/svc/") {
        frontend.check_start(Instant::now())?;
        return plain::call(frontend, index, id, caller, request).await;
    }
    match (request.method(), path) {
        (&Method::POST, "/v1/chat/completions") => {
            frontend.check_start(Instant::now())?;
            chat::complete(frontend, index, id, caller, request).await
        }
        (&Method::GET, "/v1/models") => Ok(chat::list_models(index, id, &caller)),
        (&Method::GET, "/v1/addresses") => Ok(list_addresses(frontend, id, caller).await),
        (&Method::POST, "/v1/keys") => idempotency::mint(frontend, id, &caller),
        (_, "/v1/chat/completions" | "/v1/models" | "/v1/addresses" | "/v1/keys") => {
            let message = "the path does not have this method";
            Err(Failure::not_run(StatusCode::METHOD_NOT_ALLOWED, "no_such_method", message))
        }
        _ => Err(Failure::not_run(StatusCode::NOT_FOUND, "no_such_path", "no such path")),
    }
}

/// Answers `GET /v1/addresses` with the routers that the caller may use.
async fn list_addresses(
    frontend: &Arc<Frontend>,
    id: &RequestId,
    caller: Caller,
) -> Response<Body> {
    let addresses = frontend.control.addresses(caller.workspace).await;
    let mut response = json_response(StatusCode::OK, &addresses);
    set_outcome_headers(&mut response, id, Outcome::Completed);
    response
}
