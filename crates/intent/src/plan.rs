//! Makes plans.

use span_config::{AcceptedConfig, Plan, SourceFile, pack, parse};
use span_platform::{Condition, Error, MAX_VALUE_BYTES, PlatformClient};

use crate::{
    IntentError,
    message::{PlanAnswer, PlanRequest},
    store,
};

/// Plans to replace the accepted document by the requested one.
pub(crate) async fn make(
    platform: &PlatformClient,
    current: &AcceptedConfig,
    request: PlanRequest,
    operator: &str,
    now_ms: u64,
) -> Result<PlanAnswer, IntentError> {
    let files = request.files.into_iter();
    let sources: Vec<SourceFile> =
        files.map(|file| SourceFile { name: file.name, text: file.text }).collect();
    let desired = parse(&sources).map_err(|problems| IntentError::Invalid(problems.0))?;
    let plan = Plan::new(current.revision, &current.stored.document, &desired, operator, now_ms);
    // Refuses here what could not be stored once it is confirmed.
    current.stored.commit(&plan, desired, operator, now_ms).encode()?;
    if plan.changes.is_empty() {
        return Ok(PlanAnswer { plan, confirmed_as: None });
    }
    let plan = save(platform, plan).await?;
    let confirmed_as = current.confirmed(&plan.id);
    Ok(PlanAnswer { plan, confirmed_as })
}

/// Stores a plan once; the same change from the same revision is the same plan,
/// whoever asks for it.
async fn save(platform: &PlatformClient, plan: Plan) -> Result<Plan, IntentError> {
    let json =
        serde_json::to_vec(&plan).map_err(|error| IntentError::Corrupt(error.to_string()))?;
    let bytes = pack(json).map_err(|error| IntentError::Corrupt(error.to_string()))?;
    if bytes.len() > MAX_VALUE_BYTES {
        let message = format!("the plan takes {} bytes of {MAX_VALUE_BYTES}", bytes.len());
        return Err(IntentError::TooLarge(message));
    }
    let same = bytes.clone();
    let mine = move |object: &span_platform::Object| object.value == same;
    match platform.put_confirmed(&plan.id.key(), bytes.into(), Condition::Absent, mine).await {
        Ok(_) => Ok(plan),
        Err(Error::Conflict { .. }) => store::plan(platform, &plan.id).await,
        Err(error) => Err(error.into()),
    }
}
