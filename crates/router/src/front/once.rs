//! Runs of requests: which may start, and what is remembered of their end.

use std::sync::Arc;

use http::{HeaderMap, Response, StatusCode};
use serde_json::json;
use span_config::Service;
use span_http::{Body, json_response};
use span_once::{BeginResult, Claim, ClaimChange, ClaimKey, ClaimResult, ClaimState};
use span_types::{IDEMPOTENCY_KEY_HEADER, IDEMPOTENT_HEADER, Outcome, RequestId, WorkspaceName};

use super::{Failure, Front, answer::stamp, auth::Caller};
use crate::{control::MintedState, minted::minted_state};

/// Marks keys that routers mint; keys that callers choose must not start so.
const MINTED_PREFIX: &str = "span:";
const MAX_KEY_BYTES: usize = 255;
/// When to ask again about a request that still runs, in milliseconds.
const ACTIVE_RETRY_MS: u64 = 1_000;
/// When to come back while the object API is down, in milliseconds.
const STORE_RETRY_MS: u64 = 2_000;

/// The one run of a request. Dropping it ends the run: as unknown if it may
/// have been sent, as not run otherwise.
pub(super) struct Run {
    front: Arc<Front>,
    /// Id of the request.
    pub id: RequestId,
    /// The request may run more than once.
    pub idempotent: bool,
    /// A byte of it may have reached an upstream.
    pub sent: bool,
    held: Held,
    ended: bool,
}

enum Held {
    Nothing,
    Minted(RequestId),
    Claimed(ClaimKey),
}

impl Run {
    /// Ends the run.
    pub fn end(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        match &self.held {
            Held::Nothing => {}
            Held::Minted(key) => self.front.minted.end(key, outcome),
            Held::Claimed(key) => self.end_claim(key, outcome),
        }
    }

    fn end_claim(&self, key: &ClaimKey, outcome: Outcome) {
        self.front.minted.end(&self.id, outcome);
        let (key, owner) = (key.clone(), self.id.to_string());
        match outcome {
            Outcome::Completed => {
                self.front.claims.post(&key.clone(), ClaimChange::Complete { key, owner });
            }
            Outcome::NotRun => {
                self.front.claims.post(&key.clone(), ClaimChange::Release { key, owner });
            }
            Outcome::Unknown => {}
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.end(if self.sent { Outcome::Unknown } else { Outcome::NotRun });
    }
}

/// Decides whether a request may run, before anything is dispatched.
pub(super) async fn begin(
    front: &Arc<Front>,
    id: &RequestId,
    caller: &Caller,
    service: &Service,
    headers: &HeaderMap,
) -> Result<Run, Failure> {
    let idempotent = stated(headers)?.unwrap_or(service.idempotent);
    let mut run = Run {
        front: Arc::clone(front),
        id: id.clone(),
        idempotent,
        sent: false,
        held: Held::Nothing,
        ended: false,
    };
    let Some(key) = key(headers)? else {
        return Ok(run);
    };
    // A key asks for at most one run, whatever the service allows.
    run.idempotent = false;
    run.held = match key.strip_prefix(MINTED_PREFIX) {
        Some(minted) => begin_minted(front, &caller.workspace, minted).await?,
        None => claim(front, id, &caller.workspace, key).await?,
    };
    Ok(run)
}

fn invalid(message: &str) -> Failure {
    Failure::not_run(StatusCode::BAD_REQUEST, "invalid_request", message)
}

fn stated(headers: &HeaderMap) -> Result<Option<bool>, Failure> {
    let Some(value) = headers.get(IDEMPOTENT_HEADER) else {
        return Ok(None);
    };
    match value.as_bytes() {
        b"true" => Ok(Some(true)),
        b"false" => Ok(Some(false)),
        _ => Err(invalid("x-span-idempotent must be true or false")),
    }
}

fn key(headers: &HeaderMap) -> Result<Option<&str>, Failure> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| invalid("idempotency-key must be visible ASCII"))?;
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(invalid("idempotency-key must have 1 to 255 characters"));
    }
    Ok(Some(text))
}

async fn begin_minted(
    front: &Arc<Front>,
    workspace: &WorkspaceName,
    text: &str,
) -> Result<Held, Failure> {
    let key: RequestId =
        text.parse().map_err(|_| invalid("the idempotency-key was not minted by a router"))?;
    if front.minted.is_own(&key) {
        return match front.minted.begin(&key, workspace) {
            BeginResult::Run => Ok(Held::Minted(key)),
            BeginResult::Rejected(state) => Err(used(minted_state(state))),
        };
    }
    match front.control.query_minted_state(key.clone()).await {
        MintedState::Unused | MintedState::NotRun => {
            let message = format!("only instance {} runs requests with this key", key.instance);
            Err(Failure::not_run(StatusCode::MISDIRECTED_REQUEST, "minted_elsewhere", message))
        }
        state => Err(used(state)),
    }
}

/// The answer to a request whose key was used before. The outcome is that of
/// the earlier request.
fn used(state: MintedState) -> Failure {
    let (outcome, kind, message) = match state {
        MintedState::Completed => {
            (Outcome::Completed, "already_completed", "a request with this key has completed")
        }
        MintedState::Active => {
            (Outcome::Unknown, "still_running", "a request with this key is still running")
        }
        _ => (Outcome::Unknown, "outcome_unknown", "a request with this key may have run"),
    };
    Failure::new(outcome, StatusCode::CONFLICT, kind, message).retry_after_ms(ACTIVE_RETRY_MS)
}

async fn claim(
    front: &Arc<Front>,
    id: &RequestId,
    workspace: &WorkspaceName,
    key: &str,
) -> Result<Held, Failure> {
    // Peers that find the claim ask this router what became of its owner.
    front.minted.mint(id, workspace).map_err(|error| {
        Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, "too_many_keys", error.to_string())
            .retry_after_ms(error.retry_after_ms)
    })?;
    front.minted.begin(id, workspace);
    let key = ClaimKey::new(workspace, key);
    // Ends the id as not run on every early return and when the caller leaves.
    let mut run = Run {
        front: Arc::clone(front),
        id: id.clone(),
        idempotent: false,
        sent: false,
        held: Held::Claimed(key.clone()),
        ended: false,
    };
    take(front, id, &key).await?;
    run.ended = true;
    Ok(Held::Claimed(key))
}

async fn take(front: &Arc<Front>, id: &RequestId, key: &ClaimKey) -> Result<(), Failure> {
    match try_take(front, id, key, None).await? {
        None => Ok(()),
        Some(held) if owner_did_not_run(front, &held).await? => {
            match try_take(front, id, key, Some(held.owner)).await? {
                None => Ok(()),
                Some(_) => Err(used(MintedState::Active)),
            }
        }
        Some(_) => Err(used(MintedState::Unknown)),
    }
}

async fn try_take(
    front: &Arc<Front>,
    id: &RequestId,
    key: &ClaimKey,
    replaces: Option<String>,
) -> Result<Option<Claim>, Failure> {
    let change = ClaimChange::Acquire { key: key.clone(), owner: id.to_string(), replaces };
    let unavailable = |message| {
        Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, "claims_unavailable", message)
            .retry_after_ms(STORE_RETRY_MS)
    };
    match front.claims.apply(key, change).await {
        Ok(ClaimResult::Applied) => Ok(None),
        Ok(ClaimResult::HeldByOther(claim)) => Ok(Some(claim)),
        Ok(ClaimResult::BucketFull) => Err(unavailable("too many keys are claimed".to_owned())),
        Err(error) => Err(unavailable(format!("the key cannot be claimed: {error}"))),
    }
}

async fn owner_did_not_run(front: &Arc<Front>, claim: &Claim) -> Result<bool, Failure> {
    if claim.state == ClaimState::Completed {
        return Err(used(MintedState::Completed));
    }
    let Ok(owner) = claim.owner.parse::<RequestId>() else {
        return Ok(false);
    };
    let state = if front.minted.is_own(&owner) {
        front.minted.state(&owner)
    } else {
        front.control.query_minted_state(owner).await
    };
    match state {
        MintedState::NotRun => Ok(true),
        state => Err(used(state)),
    }
}

/// Mints a key: `POST /v1/keys`.
pub(super) fn mint(
    front: &Arc<Front>,
    id: &RequestId,
    caller: &Caller,
) -> Result<Response<Body>, Failure> {
    let key = front.mint();
    front.minted.mint(&key, &caller.workspace).map_err(|error| {
        Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, "too_many_keys", error.to_string())
            .retry_after_ms(error.retry_after_ms)
    })?;
    let answer = json!({
        "key": format!("{MINTED_PREFIX}{key}"),
        "instance": key.instance,
        "lifetime_ms": front.key_lifetime_ms,
    });
    let mut response = json_response(StatusCode::CREATED, &answer);
    stamp(&mut response, id, Outcome::Completed);
    Ok(response)
}
