//! Caller side: authentication, routes, and the way to upstreams and back.

mod admin;
mod answer;
mod auth;
mod body;
mod chat;
mod claims;
mod dispatch;
mod headers;
mod in_flight;
mod index;
mod objects;
mod once;
mod plain;
mod sse;
mod stream;
mod upstream;
mod whole;

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
use tracing::Instrument;

use crate::{control, minted::MintedIds, settings::Settings, trace};
use answer::{Failure, failure, stamp};
use auth::Caller;
use claims::Claims;
use in_flight::InFlight;
pub use in_flight::InFlightRequest;
use index::Index;

/// What the caller side needs for each request.
pub(crate) struct Front {
    /// This router process.
    pub member: Member,
    /// Settings of the router.
    pub settings: Settings,
    /// Configuration in force.
    pub index: ArcSwap<Index>,
    /// Control thread.
    pub control: control::Handle,
    /// Client towards the upstreams, with pooled connections.
    pub client: Client,
    /// Client towards the upstreams, with a new connection for each request.
    pub fresh: Client,
    /// Ids minted here.
    pub minted: MintedIds,
    /// Time for which an unused key is valid, in milliseconds.
    pub key_lifetime_ms: u64,
    /// Claims on keys that callers choose.
    pub claims: Arc<Claims>,
    /// Requests that wait or run.
    pub in_flight: InFlight,
    closed: AtomicBool,
    last_seq: AtomicU64,
    budget: Mutex<RetryBudget>,
    rng: Mutex<ChaCha8Rng>,
}

impl Front {
    /// Makes the caller side of a router.
    pub fn new(
        settings: Settings,
        member: Member,
        control: control::Handle,
        minted: MintedIds,
        platform: PlatformClient,
    ) -> Arc<Self> {
        let connect = Duration::from_millis(settings.timeouts.connect_ms);
        let client = span_http::pooled_client(connect);
        Arc::new(Self {
            index: ArcSwap::default(),
            fresh: span_http::unpooled_client(connect),
            client,
            minted,
            key_lifetime_ms: RegistryLimits::default().lifetime_ms,
            claims: Claims::new(platform),
            in_flight: InFlight::default(),
            closed: AtomicBool::new(false),
            last_seq: AtomicU64::new(0),
            budget: Mutex::default(),
            // Start times differ, so routers do not draw the same delays.
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(member.incarnation.0)),
            control,
            member,
            settings,
        })
    }

    /// Puts a configuration in force.
    pub fn configure(&self, document: Arc<Document>) {
        self.index.store(Arc::new(Index::new(document)));
    }

    /// Refuses requests from now on; those that wait or run go on.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    /// A new request id.
    pub fn mint(&self) -> RequestId {
        RequestId {
            instance: self.member.instance.clone(),
            incarnation: self.member.incarnation,
            seq: self.last_seq.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }
}

/// Answers one request.
pub(crate) async fn handle(front: Arc<Front>, request: Request<Incoming>) -> Response<Body> {
    let id = front.mint();
    let span = tracing::info_span!(
        target: trace::SPAN_TARGET,
        "caller",
        otel.kind = "server",
        request_id = %id,
    );
    trace::continue_trace(&span, request.headers());
    let result = route(&front, &id, request).instrument(span).await;
    result.unwrap_or_else(|error| failure(&id, &error))
}

/// The answer on a connection past the limit.
pub(crate) fn refuse_connection(front: &Front) -> Response<Body> {
    let message = format!("more than {} connections are open", front.settings.limits.connections);
    let status = StatusCode::SERVICE_UNAVAILABLE;
    failure(&front.mint(), &Failure::not_run(status, "too_many_connections", message))
}

async fn route(
    front: &Arc<Front>,
    id: &RequestId,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    if front.closed.load(Ordering::Relaxed) {
        return Err(control::Rejection::ShuttingDown.into());
    }
    let index = front.index.load_full();
    if let Some(answer) = admin::answer(front, &index, id, &request).await {
        return answer;
    }
    let caller = auth::authenticate(&index, request.headers())?;
    let entry = front.in_flight.enter(InFlightRequest {
        id: id.clone(),
        workspace: caller.workspace.clone(),
        path: request.uri().path().to_owned(),
    });
    let response = call(front, &index, id, caller, request).await?;
    Ok(response.map(|body| entry.hold(body)))
}

async fn call(
    front: &Arc<Front>,
    index: &Index,
    id: &RequestId,
    caller: Caller,
    request: Request<Incoming>,
) -> Result<Response<Body>, Failure> {
    let path = request.uri().path();
    if path.starts_with("/svc/") {
        return plain::call(front, index, id, caller, request).await;
    }
    match (request.method(), path) {
        (&Method::POST, "/v1/chat/completions") => {
            chat::complete(front, index, id, caller, request).await
        }
        (&Method::GET, "/v1/models") => Ok(chat::models(index, id, &caller)),
        (&Method::GET, "/v1/addresses") => Ok(addresses(front, id, caller).await),
        (&Method::POST, "/v1/keys") => once::mint(front, id, &caller),
        (_, "/v1/chat/completions" | "/v1/models" | "/v1/addresses" | "/v1/keys") => {
            let message = "the path does not have this method";
            Err(Failure::not_run(StatusCode::METHOD_NOT_ALLOWED, "no_such_method", message))
        }
        _ => Err(Failure::not_run(StatusCode::NOT_FOUND, "no_such_path", "no such path")),
    }
}

/// Tells which addresses to use: `GET /v1/addresses`.
async fn addresses(front: &Arc<Front>, id: &RequestId, caller: Caller) -> Response<Body> {
    let addresses = front.control.addresses(caller.workspace).await;
    let mut response = json_response(StatusCode::OK, &addresses);
    stamp(&mut response, id, Outcome::Completed);
    response
}
