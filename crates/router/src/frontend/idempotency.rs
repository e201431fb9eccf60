//! Idempotency keys: decides whether a request may run, and records the outcome
//! of its run.

use std::sync::Arc;

use http::{HeaderMap, Response, StatusCode};
use serde_json::json;
use span_config::Service;
use span_http::{Body, json_response};
use span_once::{
    BeginResult, Claim, ClaimChange, ClaimKey, ClaimResult, ClaimState, MAX_UNANSWERED_ATTEMPTS,
};
use span_types::{IDEMPOTENCY_KEY_HEADER, IDEMPOTENT_HEADER, Outcome, RequestId, WorkspaceName};

use super::{Failure, Frontend, answer::set_outcome_headers, auth::Caller};
use crate::{control::MintedState, minted::minted_state};

/// Prefix of keys that routers mint; keys chosen by callers must not have it.
const MINTED_KEY_PREFIX: &str = "span:";
const MAX_KEY_BYTES: usize = 255;
/// Suggested retry delay for requests whose key was used before.
const ACTIVE_RETRY_AFTER_MS: u64 = 1_000;
/// Suggested retry delay for requests whose key cannot be claimed.
const STORE_RETRY_AFTER_MS: u64 = 2_000;

/// The run of one request, over all its attempts. Dropping it ends the run: with
/// outcome unknown if the request may have been sent, else with outcome not run.
pub(super) struct Run {
    frontend: Arc<Frontend>,
    /// Id of the request; it also owns the claim on a chosen key.
    pub id: RequestId,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether a byte of the request may have reached an upstream.
    sent: bool,
    /// Upstreams that may have got the request and have not answered it.
    pub unanswered_attempts: u32,
    run_key: RunKey,
    ended: bool,
}

/// The key that the run holds.
enum RunKey {
    Unkeyed,
    Minted(RequestId),
    Claimed(ClaimKey),
}

impl Run {
    /// Sets whether a byte of the request may have reached an upstream. Returns the value
    /// before.
    pub fn set_sent(&mut self, sent: bool) -> bool {
        self.frontend.in_flight.set_may_have_run(&self.id, sent);
        std::mem::replace(&mut self.sent, sent)
    }

    /// Records that the answer of an upstream is lost. Returns whether the request may
    /// run again.
    pub fn answer_lost(&mut self) -> bool {
        self.unanswered_attempts += 1;
        self.idempotent && self.unanswered_attempts < MAX_UNANSWERED_ATTEMPTS
    }

    /// Records the outcome of the run; later calls have no effect.
    pub fn end(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        match &self.run_key {
            RunKey::Unkeyed => {}
            RunKey::Minted(key) => self.frontend.minted.end(key, outcome),
            RunKey::Claimed(key) => self.end_claim(key, outcome),
        }
    }

    fn end_claim(&self, key: &ClaimKey, outcome: Outcome) {
        self.frontend.minted.end(&self.id, outcome);
        let (key, owner) = (key.clone(), self.id.to_string());
        match outcome {
            Outcome::Completed => {
                self.frontend
                    .claims
                    .apply_in_background(&key.clone(), ClaimChange::Complete { key, owner });
            }
            Outcome::NotRun => {
                self.frontend
                    .claims
                    .apply_in_background(&key.clone(), ClaimChange::Release { key, owner });
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

/// Decides whether a request may run. Must be called before the request waits
/// for a slot.
pub(super) async fn begin(
    frontend: &Arc<Frontend>,
    id: &RequestId,
    caller: &Caller,
    service: &Service,
    headers: &HeaderMap,
) -> Result<Run, Failure> {
    let idempotent = idempotent_header(headers)?.unwrap_or(service.idempotent);
    let mut run = Run {
        frontend: Arc::clone(frontend),
        id: id.clone(),
        idempotent,
        sent: false,
        unanswered_attempts: 0,
        run_key: RunKey::Unkeyed,
        ended: false,
    };
    let Some(key) = idempotency_key(headers)? else {
        return Ok(run);
    };
    // With a key, the request runs at most once, even if the service is
    // idempotent.
    run.idempotent = false;
    run.run_key = match key.strip_prefix(MINTED_KEY_PREFIX) {
        Some(minted) => begin_minted(frontend, &caller.workspace, minted).await?,
        None => claim_key(frontend, id, &caller.workspace, key).await?,
    };
    Ok(run)
}

fn invalid_request(message: &str) -> Failure {
    Failure::not_run(StatusCode::BAD_REQUEST, "invalid_request", message)
}

fn idempotent_header(headers: &HeaderMap) -> Result<Option<bool>, Failure> {
    let Some(value) = headers.get(IDEMPOTENT_HEADER) else {
        return Ok(None);
    };
    match value.as_bytes() {
        b"true" => Ok(Some(true)),
        b"false" => Ok(Some(false)),
        _ => Err(invalid_request("x-span-idempotent must be true or false")),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, Failure> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let text =
        value.to_str().map_err(|_| invalid_request("idempotency-key must be visible ASCII"))?;
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(invalid_request("idempotency-key must have 1 to 255 characters"));
    }
    Ok(Some(text))
}

async fn begin_minted(
    frontend: &Arc<Frontend>,
    workspace: &WorkspaceName,
    text: &str,
) -> Result<RunKey, Failure> {
    let key: RequestId = text
        .parse()
        .map_err(|_| invalid_request("the idempotency-key was not minted by a router"))?;
    if frontend.minted.is_own(&key) {
        return match frontend.minted.begin(&key, workspace) {
            BeginResult::Run => Ok(RunKey::Minted(key)),
            BeginResult::Rejected(state) => Err(key_used(minted_state(state))),
        };
    }
    match frontend.control.query_minted_state(key.clone()).await {
        MintedState::Unused | MintedState::NotRun => {
            let message = format!("only instance {} runs requests with this key", key.instance);
            Err(Failure::not_run(StatusCode::MISDIRECTED_REQUEST, "minted_elsewhere", message))
        }
        state => Err(key_used(state)),
    }
}

/// The failure of a request whose key was used before. Its outcome is that of the
/// earlier request.
fn key_used(state: MintedState) -> Failure {
    let (outcome, kind, message) = match state {
        MintedState::Completed => {
            (Outcome::Completed, "already_completed", "a request with this key has completed")
        }
        MintedState::Active => {
            (Outcome::Unknown, "still_running", "a request with this key is still running")
        }
        _ => (Outcome::Unknown, "outcome_unknown", "a request with this key may have run"),
    };
    Failure::new(outcome, StatusCode::CONFLICT, kind, message).retry_after_ms(ACTIVE_RETRY_AFTER_MS)
}

async fn claim_key(
    frontend: &Arc<Frontend>,
    id: &RequestId,
    workspace: &WorkspaceName,
    key: &str,
) -> Result<RunKey, Failure> {
    // The id owns the claim. Peers that find the claim ask this router about the
    // state of the id.
    frontend.minted.mint(id, workspace).map_err(|error| {
        Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, "too_many_keys", error.to_string())
            .retry_after_ms(error.retry_after_ms)
    })?;
    frontend.minted.begin(id, workspace);
    let key = ClaimKey::new(workspace, key);
    // Dropped on every early return and when the caller leaves; this ends the id
    // as not run and releases the claim.
    let mut run = Run {
        frontend: Arc::clone(frontend),
        id: id.clone(),
        idempotent: false,
        sent: false,
        unanswered_attempts: 0,
        run_key: RunKey::Claimed(key.clone()),
        ended: false,
    };
    take_claim(frontend, id, &key).await?;
    run.ended = true;
    Ok(RunKey::Claimed(key))
}

async fn take_claim(
    frontend: &Arc<Frontend>,
    id: &RequestId,
    key: &ClaimKey,
) -> Result<(), Failure> {
    match try_take_claim(frontend, id, key, None).await? {
        None => Ok(()),
        Some(existing) if owner_did_not_run(frontend, &existing).await? => {
            match try_take_claim(frontend, id, key, Some(existing.owner)).await? {
                None => Ok(()),
                Some(_) => Err(key_used(MintedState::Active)),
            }
        }
        Some(_) => Err(key_used(MintedState::Unknown)),
    }
}

async fn try_take_claim(
    frontend: &Arc<Frontend>,
    id: &RequestId,
    key: &ClaimKey,
    replaces: Option<String>,
) -> Result<Option<Claim>, Failure> {
    let change = ClaimChange::Acquire { key: key.clone(), owner: id.to_string(), replaces };
    let unavailable = |message| {
        Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, "claims_unavailable", message)
            .retry_after_ms(STORE_RETRY_AFTER_MS)
    };
    match frontend.claims.apply(key, change).await {
        Ok(ClaimResult::Applied) => Ok(None),
        Ok(ClaimResult::HeldByOther(claim)) => Ok(Some(claim)),
        Ok(ClaimResult::BucketFull) => Err(unavailable("too many keys are claimed".to_owned())),
        Err(error) => Err(unavailable(format!("the key cannot be claimed: {error}"))),
    }
}

/// Whether the owner of the claim ended without a run. Fails with the owner's
/// state if it is any other; an owner that is not a request id may have run.
async fn owner_did_not_run(frontend: &Arc<Frontend>, claim: &Claim) -> Result<bool, Failure> {
    if claim.state == ClaimState::Completed {
        return Err(key_used(MintedState::Completed));
    }
    let Ok(owner) = claim.owner.parse::<RequestId>() else {
        return Ok(false);
    };
    let state = if frontend.minted.is_own(&owner) {
        frontend.minted.state(&owner)
    } else {
        frontend.control.query_minted_state(owner).await
    };
    match state {
        MintedState::NotRun => Ok(true),
        state => Err(key_used(state)),
    }
}

/// Answers `POST /v1/keys` with a newly minted key.
pub(super) fn mint(
    frontend: &Arc<Frontend>,
    id: &RequestId,
    caller: &Caller,
) -> Result<Response<Body>, Failure> {
    let key = frontend.next_request_id();
    frontend.minted.mint(&key, &caller.workspace).map_err(|error| {
        Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, "too_many_keys", error.to_string())
            .retry_after_ms(error.retry_after_ms)
    })?;
    let answer = json!({
        "key": format!("{MINTED_KEY_PREFIX}{key}"),
        "instance": key.instance,
        "lifetime_ms": frontend.key_lifetime_ms,
    });
    let mut response = json_response(StatusCode::CREATED, &answer);
    set_outcome_headers(&mut response, id, Outcome::Completed);
    Ok(response)
}
