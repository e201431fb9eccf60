//! The steps of an order, each of which a pause may follow.

use std::{net::SocketAddr, time::Duration};

use serde::{Serialize, de::DeserializeOwned};
use span_http::Client;
use span_platform::{Condition, Error, Object, PlatformClient};
use span_types::UpstreamName;

use super::{
    Acquire, ClaimState, Claims, Decision, EngineOrder, LEASE_KEY, Lease, LoadRate, Sent, acquire,
    engine, holds,
};
use crate::{
    IntentError,
    message::{OrderKind, OrderRequest},
};

/// Attempts to take the lease or a claim while others write the same object.
const WRITE_ATTEMPTS: u32 = 3;
/// When to come back after losing each attempt, in milliseconds.
const CONTENDED_RETRY_MS: u64 = 1_000;

/// Engine that an order is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Address of the engine.
    pub address: SocketAddr,
    /// The engine refuses old fencing numbers.
    pub checks_fencing: bool,
}

/// Gives orders on behalf of one process.
#[derive(Clone, Debug)]
pub struct Orders {
    /// The object API.
    pub platform: PlatformClient,
    /// Client for engines.
    pub client: Client,
    /// Names this process in the lease.
    pub holder: String,
    /// Fleet-wide rate of the weight store.
    pub load_rate: LoadRate,
    /// Time for one call of an engine.
    pub timeout: Duration,
}

impl Orders {
    /// Fencing number under which the engine carried out order `id`, if it did.
    ///
    /// # Errors
    ///
    /// [`IntentError::OrderNotRun`] if the engine does not tell.
    pub async fn carried_out(&self, target: &Target, id: &str) -> Result<Option<u64>, IntentError> {
        engine::carried_out(&self.client, target.address, id, self.timeout).await.map_err(
            |reason| IntentError::OrderNotRun(format!("the engine gives no answer: {reason}")),
        )
    }

    /// Takes the lease, and charges a load if `kind` is one.
    ///
    /// # Errors
    ///
    /// [`IntentError::LeaseHeld`], [`IntentError::RateLimited`] or
    /// [`IntentError::Platform`].
    pub async fn acquire(&self, kind: OrderKind, now_ms: u64) -> Result<Lease, IntentError> {
        let loads = kind.loads_weights().then_some(self.load_rate);
        for _ in 0..WRITE_ATTEMPTS {
            let (stored, condition) = self.read::<Lease>(LEASE_KEY).await?;
            let lease = match acquire(stored.as_ref(), &self.holder, now_ms, loads) {
                Acquire::Take(lease) => lease,
                Acquire::Held { holder, retry_after_ms } => {
                    return Err(IntentError::LeaseHeld { holder, retry_after_ms });
                }
                Acquire::RateLimited { retry_after_ms } => {
                    return Err(IntentError::RateLimited { retry_after_ms });
                }
            };
            if self.write(LEASE_KEY, &lease, condition).await.map_err(not_sent)? {
                return Ok(lease);
            }
        }
        let holder = "others that ask for it at the same time".to_owned();
        Err(IntentError::LeaseHeld { holder, retry_after_ms: CONTENDED_RETRY_MS })
    }

    /// Gives the lease back. Without it others wait until it expires.
    pub async fn release(&self, lease: &Lease) {
        if let Ok((Some(stored), condition)) = self.read::<Lease>(LEASE_KEY).await
            && stored == *lease
            && let Err(error) = self.write(LEASE_KEY, &lease.released(), condition).await
        {
            tracing::warn!(%error, "the order lease is left to expire");
        }
    }

    /// Claims an order for an engine that ignores fencing numbers. Returns the
    /// number of an earlier claim under which the order was carried out.
    ///
    /// # Errors
    ///
    /// [`IntentError::OrderUnknown`] if another claimant may have sent it,
    /// [`IntentError::OrderNotRun`] if the claim cannot be written.
    pub async fn claim(
        &self,
        lease: &Lease,
        target: &Target,
        id: &str,
    ) -> Result<Option<u64>, IntentError> {
        let key = Claims::key(target.upstream.as_str());
        for _ in 0..WRITE_ATTEMPTS {
            let (claims, condition) = self.read::<Claims>(&key).await.map_err(not_sent)?;
            match claims.unwrap_or_default().claim(id, lease.fencing) {
                Decision::Done { fencing } => return Ok(Some(fencing)),
                Decision::Claim(next) => {
                    if self.write(&key, &next, condition).await.map_err(not_sent)? {
                        return Ok(None);
                    }
                }
                Decision::Unresolved(next) => {
                    // If this write fails, the other claimant still finds out
                    // by the lease.
                    let _ = self.write(&key, &next, condition).await;
                    let message = "another claimant may have sent it, the engine does not list it";
                    return Err(IntentError::OrderUnknown(message.to_owned()));
                }
            }
        }
        Err(IntentError::OrderNotRun("the claim is contended".to_owned()))
    }

    /// Reads lease and claim again. A holder that was paused since it took them
    /// learns here that it was overtaken.
    ///
    /// # Errors
    ///
    /// [`IntentError::OrderNotRun`] if the lease or the claim is lost or cannot
    /// be read.
    pub async fn check(
        &self,
        lease: &Lease,
        target: &Target,
        id: &str,
        now_ms: u64,
    ) -> Result<(), IntentError> {
        if !target.checks_fencing {
            let key = Claims::key(target.upstream.as_str());
            let (claims, _) = self.read::<Claims>(&key).await.map_err(not_sent)?;
            if !claims.is_some_and(|claims| claims.holds(id, lease.fencing)) {
                return Err(IntentError::OrderNotRun("the claim was lost".to_owned()));
            }
        }
        let (stored, _) = self.read::<Lease>(LEASE_KEY).await.map_err(not_sent)?;
        if holds(stored.as_ref(), lease, now_ms) {
            return Ok(());
        }
        Err(IntentError::OrderNotRun("the lease was lost".to_owned()))
    }

    /// Sends the order once and records what became of it. An order without an
    /// answer is looked up at the engine and not repeated.
    ///
    /// # Errors
    ///
    /// [`IntentError::OrderNotRun`] or [`IntentError::OrderUnknown`].
    pub async fn send(
        &self,
        lease: &Lease,
        target: &Target,
        request: &OrderRequest,
    ) -> Result<(), IntentError> {
        let order = EngineOrder {
            id: request.id.clone(),
            fencing: lease.fencing,
            kind: request.kind.to_string(),
            target: request.target.clone(),
        };
        let mut sent = engine::send(&self.client, target.address, &order, self.timeout).await;
        if matches!(sent, Sent::Unknown(_))
            && let Ok(Some(_)) = self.carried_out(target, &request.id).await
        {
            sent = Sent::Done;
        }
        let (state, result) = match sent {
            Sent::Done => (ClaimState::Done, Ok(())),
            Sent::NotRun(reason) => (ClaimState::NotRun, Err(IntentError::OrderNotRun(reason))),
            Sent::Unknown(reason) => (ClaimState::Unknown, Err(IntentError::OrderUnknown(reason))),
        };
        self.close(lease, target, &request.id, state).await;
        result
    }

    /// Records what became of a claimed order. A claim that cannot be closed
    /// stays open, and the order is not sent again.
    pub async fn close(&self, lease: &Lease, target: &Target, id: &str, state: ClaimState) {
        if target.checks_fencing {
            return;
        }
        if let Err(error) = self.try_close(lease, target, id, state).await {
            tracing::warn!(%error, order = id, "the claim is left open");
        }
    }

    async fn try_close(
        &self,
        lease: &Lease,
        target: &Target,
        id: &str,
        state: ClaimState,
    ) -> Result<(), IntentError> {
        let key = Claims::key(target.upstream.as_str());
        for _ in 0..WRITE_ATTEMPTS {
            let (claims, condition) = self.read::<Claims>(&key).await?;
            let next = claims.and_then(|claims| claims.close(id, lease.fencing, state));
            let Some(next) = next else { return Ok(()) };
            if self.write(&key, &next, condition).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn read<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<(Option<T>, Condition), IntentError> {
        let Some(object) = self.platform.get(key).await? else {
            return Ok((None, Condition::Absent));
        };
        Ok((Some(object.json()?), Condition::Version(object.version)))
    }

    /// Writes under a condition; false if another write came first.
    async fn write<T: Serialize + DeserializeOwned + PartialEq>(
        &self,
        key: &str,
        value: &T,
        condition: Condition,
    ) -> Result<bool, IntentError> {
        let bytes =
            serde_json::to_vec(value).map_err(|error| IntentError::Corrupt(error.to_string()))?;
        let mine = |object: &Object| object.json::<T>().is_ok_and(|stored| stored == *value);
        match self.platform.put_confirmed(key, bytes.into(), condition, mine).await {
            Ok(_) => Ok(true),
            Err(Error::Conflict { .. }) => Ok(false),
            Err(error) => Err(error.into()),
        }
    }
}

/// Whatever the object API's error is, the order was not sent.
fn not_sent(error: IntentError) -> IntentError {
    IntentError::OrderNotRun(error.to_string())
}
