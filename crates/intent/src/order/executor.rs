//! The steps of an order. The process may be paused after any of them.

use std::{net::SocketAddr, time::Duration};

use serde::{Serialize, de::DeserializeOwned};
use span_http::Client;
use span_platform::{Condition, Error, Object, PlatformClient};
use span_types::UpstreamName;

use super::{
    AcquireDecision, ClaimDecision, ClaimState, Claims, EngineOrder, LEASE_KEY, Lease, LoadRate,
    SendResult, decide_acquire, engine, is_held,
};
use crate::{
    IntentError,
    message::{OrderKind, OrderRequest},
};

/// Attempts to write the lease or the claims while others write the same object.
const MAX_WRITE_ATTEMPTS: u32 = 3;
/// Time to wait after all attempts were lost to other writers.
const CONTENTION_RETRY_AFTER_MS: u64 = 1_000;

/// Engine to which an order is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderTarget {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Address of the engine.
    pub address: SocketAddr,
    /// The engine rejects old fencing numbers.
    pub checks_fencing: bool,
}

/// Executes orders on behalf of one process.
#[derive(Clone, Debug)]
pub struct OrderExecutor {
    /// Client of the object API.
    pub platform: PlatformClient,
    /// HTTP client for engines.
    pub client: Client,
    /// Name of this process in the lease.
    pub holder: String,
    /// Fleet-wide limit on the rate of loads from the weight store.
    pub load_rate: LoadRate,
    /// Timeout of one call of an engine.
    pub timeout: Duration,
}

impl OrderExecutor {
    /// Asks the engine for the fencing number under which it executed order `id`.
    /// Returns `None` if it has not executed the order.
    ///
    /// # Errors
    ///
    /// [`IntentError::OrderNotRun`] if the engine gives no valid response.
    pub async fn executed_fencing(
        &self,
        target: &OrderTarget,
        id: &str,
    ) -> Result<Option<u64>, IntentError> {
        engine::executed_fencing(&self.client, target.address, id, self.timeout).await.map_err(
            |reason| IntentError::OrderNotRun(format!("the engine gives no answer: {reason}")),
        )
    }

    /// Acquires the lease, and charges a load if `kind` loads weights.
    ///
    /// # Errors
    ///
    /// [`IntentError::LeaseHeld`], [`IntentError::RateLimited`],
    /// [`IntentError::Platform`] if the lease cannot be read,
    /// [`IntentError::OrderNotRun`] if it cannot be written.
    pub async fn acquire(&self, kind: OrderKind, now_ms: u64) -> Result<Lease, IntentError> {
        let load_rate = kind.loads_weights().then_some(self.load_rate);
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let (stored, condition) = self.read_object::<Lease>(LEASE_KEY).await?;
            let lease = match decide_acquire(stored.as_ref(), &self.holder, now_ms, load_rate) {
                AcquireDecision::Grant(lease) => lease,
                AcquireDecision::Held { holder, retry_after_ms } => {
                    return Err(IntentError::LeaseHeld { holder, retry_after_ms });
                }
                AcquireDecision::RateLimited { retry_after_ms } => {
                    return Err(IntentError::RateLimited { retry_after_ms });
                }
            };
            if self.write_object(LEASE_KEY, &lease, condition).await.map_err(not_sent)? {
                return Ok(lease);
            }
        }
        let holder = "others that ask for it at the same time".to_owned();
        Err(IntentError::LeaseHeld { holder, retry_after_ms: CONTENTION_RETRY_AFTER_MS })
    }

    /// Releases the lease, if this process still holds it. If that fails, other
    /// processes wait until the lease expires.
    pub async fn release(&self, lease: &Lease) {
        let (stored, condition) = match self.read_object::<Lease>(LEASE_KEY).await {
            Ok(read) => read,
            Err(error) => {
                tracing::warn!(%error, "the order lease is left to expire");
                return;
            }
        };
        // Another holder has taken the lease over.
        if stored.as_ref() != Some(lease) {
            return;
        }
        match self.write_object(LEASE_KEY, &lease.released(), condition).await {
            Ok(true) => {}
            Ok(false) => tracing::warn!("the order lease changed; it is left to expire"),
            Err(error) => tracing::warn!(%error, "the order lease is left to expire"),
        }
    }

    /// Claims an order for an engine that does not check fencing numbers. If the order
    /// was already executed, returns the fencing number of that execution.
    ///
    /// # Errors
    ///
    /// [`IntentError::OrderOutcomeUnknown`] if another claimant may have sent the
    /// order, [`IntentError::OrderNotRun`] if the claim cannot be read or written.
    pub async fn claim(
        &self,
        lease: &Lease,
        target: &OrderTarget,
        id: &str,
    ) -> Result<Option<u64>, IntentError> {
        let key = Claims::key(target.upstream.as_str());
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let (claims, condition) = self.read_object::<Claims>(&key).await.map_err(not_sent)?;
            match claims.unwrap_or_default().try_claim(id, lease.fencing) {
                ClaimDecision::Done { fencing } => return Ok(Some(fencing)),
                ClaimDecision::Claim(next) => {
                    if self.write_object(&key, &next, condition).await.map_err(not_sent)? {
                        return Ok(None);
                    }
                }
                ClaimDecision::Unresolved(next) => {
                    // If this write fails, the other claimant still finds out when it
                    // reads the lease again.
                    let _ = self.write_object(&key, &next, condition).await;
                    let message = "another claimant may have sent it, the engine does not list it";
                    return Err(IntentError::OrderOutcomeUnknown(message.to_owned()));
                }
            }
        }
        Err(IntentError::OrderNotRun("the claim is contended".to_owned()))
    }

    /// Reads the lease and the claim again. A holder that was paused since it acquired
    /// them finds out here that another process has replaced it.
    ///
    /// # Errors
    ///
    /// [`IntentError::OrderNotRun`] if the lease or the claim is lost or cannot
    /// be read.
    pub async fn verify(
        &self,
        lease: &Lease,
        target: &OrderTarget,
        id: &str,
        now_ms: u64,
    ) -> Result<(), IntentError> {
        if !target.checks_fencing {
            let key = Claims::key(target.upstream.as_str());
            let (claims, _) = self.read_object::<Claims>(&key).await.map_err(not_sent)?;
            if !claims.is_some_and(|claims| claims.is_open(id, lease.fencing)) {
                return Err(IntentError::OrderNotRun("the claim was lost".to_owned()));
            }
        }
        let (stored, _) = self.read_object::<Lease>(LEASE_KEY).await.map_err(not_sent)?;
        if is_held(stored.as_ref(), lease, now_ms) {
            return Ok(());
        }
        Err(IntentError::OrderNotRun("the lease was lost".to_owned()))
    }

    /// Sends the order once and records the outcome. If the engine does not respond,
    /// the order is not sent again; the engine's list of executed orders is read
    /// instead.
    ///
    /// # Errors
    ///
    /// [`IntentError::OrderNotRun`] or [`IntentError::OrderOutcomeUnknown`].
    pub async fn send(
        &self,
        lease: &Lease,
        target: &OrderTarget,
        request: &OrderRequest,
    ) -> Result<(), IntentError> {
        let order = EngineOrder {
            id: request.id.clone(),
            fencing: lease.fencing,
            kind: request.kind.to_string(),
            target: request.target.clone(),
        };
        let mut sent = engine::send(&self.client, target.address, &order, self.timeout).await;
        if matches!(sent, SendResult::Unknown(_))
            && let Ok(Some(_)) = self.executed_fencing(target, &request.id).await
        {
            sent = SendResult::Done;
        }
        let (state, result) = match sent {
            SendResult::Done => (ClaimState::Done, Ok(())),
            SendResult::NotRun(reason) => {
                (ClaimState::NotRun, Err(IntentError::OrderNotRun(reason)))
            }
            SendResult::Unknown(reason) => {
                (ClaimState::Unknown, Err(IntentError::OrderOutcomeUnknown(reason)))
            }
        };
        self.record_outcome(lease, target, &request.id, state).await;
        result
    }

    /// Records the outcome of a claimed order. If that fails, the claim stays open and
    /// the order is not sent again.
    pub async fn record_outcome(
        &self,
        lease: &Lease,
        target: &OrderTarget,
        id: &str,
        state: ClaimState,
    ) {
        if target.checks_fencing {
            return;
        }
        if let Err(error) = self.try_record_outcome(lease, target, id, state).await {
            tracing::warn!(%error, order = id, "the claim is left open");
        }
    }

    async fn try_record_outcome(
        &self,
        lease: &Lease,
        target: &OrderTarget,
        id: &str,
        state: ClaimState,
    ) -> Result<(), IntentError> {
        let key = Claims::key(target.upstream.as_str());
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let (claims, condition) = self.read_object::<Claims>(&key).await?;
            let next = claims.and_then(|claims| claims.close(id, lease.fencing, state));
            let Some(next) = next else { return Ok(()) };
            if self.write_object(&key, &next, condition).await? {
                return Ok(());
            }
        }
        tracing::warn!(order = id, attempts = MAX_WRITE_ATTEMPTS, "the claim is left open");
        Ok(())
    }

    async fn read_object<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<(Option<T>, Condition), IntentError> {
        let Some(object) = self.platform.get(key).await? else {
            return Ok((None, Condition::Absent));
        };
        Ok((Some(object.json()?), Condition::Version(object.version)))
    }

    /// Writes an object under a condition. Returns false if another write came first.
    async fn write_object<T: Serialize + DeserializeOwned + PartialEq>(
        &self,
        key: &str,
        value: &T,
        condition: Condition,
    ) -> Result<bool, IntentError> {
        let bytes = serde_json::to_vec(value)
            .map_err(|error| IntentError::CorruptObject(error.to_string()))?;
        let is_same = |object: &Object| object.json::<T>().is_ok_and(|stored| stored == *value);
        match self.platform.put_confirmed(key, bytes.into(), condition, is_same).await {
            Ok(_) => Ok(true),
            Err(Error::Conflict { .. }) => Ok(false),
            Err(error) => Err(error.into()),
        }
    }
}

/// Converts an error of the object API that occurred before the order was sent.
fn not_sent(error: IntentError) -> IntentError {
    IntentError::OrderNotRun(error.to_string())
}
