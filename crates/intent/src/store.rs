//! Reads the accepted document and plans.

use span_config::{ACCEPTED_CONFIG_KEY, AcceptedConfig, Plan, PlanId, unpack};
use span_platform::PlatformClient;

use crate::{IntentError, message::HistoryEntry};

/// The accepted document; empty before the first confirmation.
pub(crate) async fn current(platform: &PlatformClient) -> Result<AcceptedConfig, IntentError> {
    let Some(object) = platform.get(ACCEPTED_CONFIG_KEY).await? else {
        return Ok(AcceptedConfig::default());
    };
    Ok(AcceptedConfig::decode(object.version, &object.value)?)
}

/// A stored plan.
pub(crate) async fn plan(platform: &PlatformClient, id: &PlanId) -> Result<Plan, IntentError> {
    let object = platform.get(&id.key()).await?;
    let object = object.ok_or_else(|| IntentError::NoSuchPlan(id.to_string()))?;
    read_plan(&object.value)
}

pub(crate) fn read_plan(value: &[u8]) -> Result<Plan, IntentError> {
    let json = unpack(value).map_err(|error| IntentError::Corrupt(error.to_string()))?;
    serde_json::from_slice(&json).map_err(|error| IntentError::Corrupt(error.to_string()))
}

/// Confirmed plans as operators see them.
pub(crate) fn entries<'a>(
    confirmations: impl Iterator<Item = (span_types::Revision, &'a span_config::Confirmation)>,
) -> Vec<HistoryEntry> {
    let entries = confirmations.map(|(revision, entry)| HistoryEntry {
        revision,
        plan: entry.plan.clone(),
        operator: entry.operator.clone(),
        at_ms: entry.at_ms,
        summary: entry.summary.clone(),
    });
    entries.collect()
}
