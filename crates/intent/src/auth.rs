//! Who an operator is.

use http::{HeaderMap, header::AUTHORIZATION};
use span_config::{Document, KeyHash};

use crate::{BootstrapOperator, IntentError};

/// The operator whose key the request carries. The bootstrap operator counts
/// only while the document declares no operators, so that its key has no power
/// once the fleet is set up.
pub(crate) fn operator(
    document: &Document,
    bootstrap: Option<&BootstrapOperator>,
    headers: &HeaderMap,
) -> Result<String, IntentError> {
    let key = bearer(headers).map(KeyHash::of).ok_or(IntentError::Unauthenticated)?;
    if document.operators.is_empty() {
        let bootstrap = bootstrap.filter(|operator| operator.key_sha256 == key);
        return bootstrap.map(|operator| operator.name.clone()).ok_or(IntentError::Unauthenticated);
    }
    let mut operators = document.operators.iter();
    let found = operators.find(|(_, operator)| operator.key == key);
    found.map(|(name, _)| name.to_string()).ok_or(IntentError::Unauthenticated)
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").filter(|key| !key.is_empty())
}
