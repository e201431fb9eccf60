//! Reads the accepted document and plans from the object API.

use span_config::{ACCEPTED_CONFIG_KEY, AcceptedConfig, Plan, PlanId, decompress};
use span_platform::PlatformClient;

use crate::{IntentError, message::HistoryEntry};

/// Reads the accepted document, which is empty before the first confirmation.
pub(crate) async fn accepted_config(
    platform: &PlatformClient,
) -> Result<AcceptedConfig, IntentError> {
    let Some(object) = platform.get(ACCEPTED_CONFIG_KEY).await? else {
        return Ok(AcceptedConfig::default());
    };
    Ok(AcceptedConfig::decode(object.version, &object.value)?)
}

/// Reads a stored plan.
pub(crate) async fn load_plan(platform: &PlatformClient, id: &PlanId) -> Result<Plan, IntentError> {
    let object = platform.get(&id.key()).await?;
    let object = object.ok_or_else(|| IntentError::NoSuchPlan(id.to_string()))?;
    decode_plan(&object.value)
}

pub(crate) fn decode_plan(value: &[u8]) -> Result<Plan, IntentError> {
    let json = decompress(value).map_err(|error| IntentError::CorruptObject(error.to_string()))?;
    serde_json::from_slice(&json).map_err(|error| IntentError::CorruptObject(error.to_string()))
}

/// Converts confirmations to the entries of a response.
pub(crate) fn history_entries<'a>(
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
