//! Authentication of operators.

use http::{HeaderMap, header::AUTHORIZATION};
use span_config::{Document, KeyHash};

use crate::{BootstrapOperator, IntentError};

/// Returns the name of the operator whose key is in the request. The bootstrap
/// operator is only accepted while the document declares no operators, so that its
/// key is useless once the fleet is set up.
pub(crate) fn authenticate_operator(
    document: &Document,
    bootstrap: Option<&BootstrapOperator>,
    headers: &HeaderMap,
) -> Result<String, IntentError> {
    let key = bearer_key(headers).map(KeyHash::of).ok_or(IntentError::Unauthenticated)?;
    if document.operators.is_empty() {
        let bootstrap = bootstrap.filter(|operator| operator.key_sha256 == key);
        return bootstrap.map(|operator| operator.name.clone()).ok_or(IntentError::Unauthenticated);
    }
    let mut operators = document.operators.iter();
    let found = operators.find(|(_, operator)| operator.key == key);
    found.map(|(name, _)| name.to_string()).ok_or(IntentError::Unauthenticated)
}

fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").filter(|key| !key.is_empty())
}
