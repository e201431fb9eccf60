//! Confirms plans. A plan is confirmed by the conditional write of the document.

use span_config::{ACCEPTED_CONFIG_KEY, AcceptedConfig, MAX_HISTORY_ENTRIES, Plan, PlanId};
use span_platform::{Condition, Error, Object, PlatformClient, WriteConfirmation};
use span_types::Revision;

use crate::{IntentError, message::ConfirmResponse, store};

/// Confirms a plan. If it is already confirmed, returns the same revision without
/// any further effect.
pub(crate) async fn confirm(
    platform: &PlatformClient,
    current: &AcceptedConfig,
    id: &PlanId,
    operator: &str,
    now_ms: u64,
) -> Result<ConfirmResponse, IntentError> {
    if let Some(revision) = current.confirmed_revision(id) {
        return Ok(ConfirmResponse { plan: id.clone(), revision, repeated: true });
    }
    let plan = store::load_plan(platform, id).await?;
    if plan.base != current.revision {
        return Err(stale_plan(&plan, current));
    }
    let document = plan
        .desired_document(current.revision, &current.stored.document)
        .map_err(|error| IntentError::CorruptObject(error.to_string()))?;
    let stored = current.stored.with_confirmation(&plan, document, operator, now_ms);
    let value = stored.encode()?.into();
    let has_plan = |object: &Object| confirmed_revision_in(object, id).is_some();
    match platform
        .put_confirmed(ACCEPTED_CONFIG_KEY, value, write_condition(plan.base), has_plan)
        .await
    {
        Ok(written) => {
            let revision = revision_of_plan(&written, id);
            tracing::info!(plan = %id, %revision, operator, "plan confirmed");
            delete_oldest_plan(platform, current).await;
            Ok(ConfirmResponse { plan: id.clone(), revision, repeated: false })
        }
        Err(Error::Conflict { .. }) => resolve_conflict(platform, &plan).await,
        Err(error) => Err(error.into()),
    }
}

/// Deletes the plan whose confirmation was dropped from the full history. If that
/// fails, the sweep deletes the plan once it is old enough.
async fn delete_oldest_plan(platform: &PlatformClient, replaced: &AcceptedConfig) {
    let history = &replaced.stored.history;
    if history.len() >= MAX_HISTORY_ENTRIES
        && let Some(oldest) = history.front()
        && let Err(error) = platform.delete(&oldest.plan.key()).await
    {
        tracing::debug!(
            %error,
            plan = %oldest.plan,
            "cannot delete the oldest confirmed plan; leaving it to the sweep"
        );
    }
}

fn write_condition(base: Revision) -> Condition {
    if base == Revision(0) { Condition::Absent } else { Condition::Version(base.0) }
}

fn confirmed_revision_in(object: &Object, id: &PlanId) -> Option<Revision> {
    AcceptedConfig::decode(object.version, &object.value).ok()?.confirmed_revision(id)
}

/// Returns the revision that the plan created. A document that was read back may
/// already have a later revision.
fn revision_of_plan(written: &WriteConfirmation, id: &PlanId) -> Revision {
    match written {
        WriteConfirmation::Acknowledged(version) => Revision(*version),
        WriteConfirmation::ReadBack(object) => {
            confirmed_revision_in(object, id).unwrap_or(Revision(object.version))
        }
    }
}

/// Finds out whether the write that came first confirmed the same plan or another.
async fn resolve_conflict(
    platform: &PlatformClient,
    plan: &Plan,
) -> Result<ConfirmResponse, IntentError> {
    // If this read fails, the first write may still have confirmed the same plan, so
    // that the effect is not known.
    let current = store::accepted_config(platform).await.map_err(|error| {
        IntentError::Platform(Error::EffectUnknown { reason: error.to_string() })
    })?;
    match current.confirmed_revision(&plan.id) {
        Some(revision) => Ok(ConfirmResponse { plan: plan.id.clone(), revision, repeated: true }),
        None => Err(stale_plan(plan, &current)),
    }
}

fn stale_plan(plan: &Plan, current: &AcceptedConfig) -> IntentError {
    IntentError::StalePlan {
        base: plan.base.0,
        current: current.revision.0,
        since: store::history_entries(current.confirmations_since(plan.base)),
    }
}
