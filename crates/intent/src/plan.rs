//! Creates and stores plans.

use span_config::{AcceptedConfig, Plan, SourceFile, compress_if_large, parse};
use span_platform::{Condition, Error, MAX_VALUE_BYTES, PlatformClient};

use crate::{
    IntentError,
    message::{PlanRequest, PlanResponse},
    store,
};

/// Creates the plan that replaces the accepted document with the requested one.
pub(crate) async fn create(
    platform: &PlatformClient,
    current: &AcceptedConfig,
    request: PlanRequest,
    operator: &str,
    now_ms: u64,
) -> Result<PlanResponse, IntentError> {
    let files = request.files.into_iter();
    let sources: Vec<SourceFile> =
        files.map(|file| SourceFile { name: file.name, text: file.text }).collect();
    let desired = parse(&sources).map_err(|problems| IntentError::Invalid(problems.0))?;
    let plan = Plan::new(current.revision, &current.stored.document, &desired, operator, now_ms);
    // Rejects a document that would be too large to store after its confirmation.
    current.stored.with_confirmation(&plan, desired, operator, now_ms).encode()?;
    if plan.changes.is_empty() {
        return Ok(PlanResponse { plan, confirmed_as: None });
    }
    let plan = store_plan(platform, plan).await?;
    let confirmed_as = current.confirmed_revision(&plan.id);
    Ok(PlanResponse { plan, confirmed_as })
}

/// Stores a plan unless it exists already, and returns the stored one. The same change
/// to the same revision is the same plan, whichever operator requests it.
async fn store_plan(platform: &PlatformClient, plan: Plan) -> Result<Plan, IntentError> {
    let json =
        serde_json::to_vec(&plan).map_err(|error| IntentError::CorruptObject(error.to_string()))?;
    let bytes =
        compress_if_large(json).map_err(|error| IntentError::CorruptObject(error.to_string()))?;
    if bytes.len() > MAX_VALUE_BYTES {
        let message = format!("the plan takes {} bytes of {MAX_VALUE_BYTES}", bytes.len());
        return Err(IntentError::TooLarge(message));
    }
    let expected = bytes.clone();
    let is_same_plan = move |object: &span_platform::Object| object.value == expected;
    match platform
        .put_confirmed(&plan.id.key(), bytes.into(), Condition::Absent, is_same_plan)
        .await
    {
        Ok(_) => Ok(plan),
        Err(Error::Conflict { .. }) => store::load_plan(platform, &plan.id).await,
        Err(error) => Err(error.into()),
    }
}
