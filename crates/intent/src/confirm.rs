//! Confirms plans: the conditional write of the document is the commit point.

use span_config::{ACCEPTED_CONFIG_KEY, AcceptedConfig, HISTORY_LIMIT, Plan, PlanId};
use span_platform::{Condition, Error, Object, PlatformClient, WriteConfirmation};
use span_types::Revision;

use crate::{IntentError, message::ConfirmAnswer, store};

/// Confirms a plan. Confirming it again has no further effect and gives the
/// same revision.
pub(crate) async fn confirm(
    platform: &PlatformClient,
    current: &AcceptedConfig,
    id: &PlanId,
    operator: &str,
    now_ms: u64,
) -> Result<ConfirmAnswer, IntentError> {
    if let Some(revision) = current.confirmed(id) {
        return Ok(ConfirmAnswer { plan: id.clone(), revision, repeated: true });
    }
    let plan = store::plan(platform, id).await?;
    if plan.base != current.revision {
        return Err(stale(&plan, current));
    }
    let document = plan
        .desired(current.revision, &current.stored.document)
        .map_err(|error| IntentError::Corrupt(error.to_string()))?;
    let stored = current.stored.commit(&plan, document, operator, now_ms);
    let value = stored.encode()?.into();
    let mine = |object: &Object| confirmed_in(object, id).is_some();
    match platform.put_confirmed(ACCEPTED_CONFIG_KEY, value, condition(plan.base), mine).await {
        Ok(written) => {
            let revision = revision(&written, id);
            tracing::info!(plan = %id, %revision, operator, "plan confirmed");
            forget_oldest(platform, current).await;
            Ok(ConfirmAnswer { plan: id.clone(), revision, repeated: false })
        }
        Err(Error::Conflict { .. }) => lost_race(platform, &plan).await,
        Err(error) => Err(error.into()),
    }
}

/// Removes the plan that the history has no room for any more. If that fails,
/// it is removed by age.
async fn forget_oldest(platform: &PlatformClient, replaced: &AcceptedConfig) {
    let history = &replaced.stored.history;
    if history.len() >= HISTORY_LIMIT
        && let Some(oldest) = history.front()
        && let Err(error) = platform.delete(&oldest.plan.key()).await
    {
        tracing::debug!(%error, plan = %oldest.plan, "the plan is left to expire");
    }
}

fn condition(base: Revision) -> Condition {
    if base == Revision(0) { Condition::Absent } else { Condition::Version(base.0) }
}

fn confirmed_in(object: &Object, id: &PlanId) -> Option<Revision> {
    AcceptedConfig::decode(object.version, &object.value).ok()?.confirmed(id)
}

/// A document that was read back may be a later revision than the plan's.
fn revision(written: &WriteConfirmation, id: &PlanId) -> Revision {
    match written {
        WriteConfirmation::Acknowledged(version) => Revision(*version),
        WriteConfirmation::ReadBack(object) => {
            confirmed_in(object, id).unwrap_or(Revision(object.version))
        }
    }
}

/// Another write came first: it was either the same plan or another one.
async fn lost_race(platform: &PlatformClient, plan: &Plan) -> Result<ConfirmAnswer, IntentError> {
    // Until this read succeeds, the write that came first may be the same plan.
    let current = store::current(platform).await.map_err(|error| {
        IntentError::Platform(Error::EffectUnknown { reason: error.to_string() })
    })?;
    match current.confirmed(&plan.id) {
        Some(revision) => Ok(ConfirmAnswer { plan: plan.id.clone(), revision, repeated: true }),
        None => Err(stale(plan, &current)),
    }
}

fn stale(plan: &Plan, current: &AcceptedConfig) -> IntentError {
    IntentError::Stale {
        base: plan.base.0,
        current: current.revision.0,
        since: store::entries(current.since(plan.base)),
    }
}
