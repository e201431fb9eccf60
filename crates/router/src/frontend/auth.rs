//! Authentication of callers and operators by bearer key.

use std::sync::Arc;

use http::{HeaderMap, StatusCode, header::AUTHORIZATION};
use span_config::{KeyHash, Workspace};
use span_types::{ServiceName, WorkspaceName};

use super::{Failure, config_index::ConfigIndex};

/// An authenticated caller.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    /// Workspace that the key belongs to.
    pub workspace: WorkspaceName,
    /// Configuration of the workspace.
    pub settings: Arc<Workspace>,
}

fn unauthorized(message: &str) -> Failure {
    Failure::not_run(StatusCode::UNAUTHORIZED, "unauthorized", message)
}

/// Hash of the bearer key.
fn key_hash(headers: &HeaderMap) -> Result<KeyHash, Failure> {
    let header =
        headers.get(AUTHORIZATION).ok_or_else(|| unauthorized("a bearer key is needed"))?;
    let text = header.to_str().map_err(|_| unauthorized("the key is not text"))?;
    let key = bearer_key(text).ok_or_else(|| unauthorized("a bearer key is needed"))?;
    Ok(KeyHash::of(key))
}

/// Checks that the bearer key is an operator's or the instance's admin key. The
/// admin key works even before a configuration is in force.
pub(super) fn authenticate_operator(
    index: &ConfigIndex,
    admin_key: Option<&KeyHash>,
    headers: &HeaderMap,
) -> Result<(), Failure> {
    let hash = key_hash(headers)?;
    let mut operators = index.document.operators.values();
    if admin_key == Some(&hash) || operators.any(|operator| operator.key == hash) {
        return Ok(());
    }
    Err(unauthorized("the key is not an operator's"))
}

/// Finds the workspace of the bearer key.
pub(super) fn authenticate(index: &ConfigIndex, headers: &HeaderMap) -> Result<Caller, Failure> {
    if !index.is_configured {
        let message = "no configuration is known yet; the request did not run";
        return Err(Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, "not_configured", message));
    }
    let caller = index.caller(&key_hash(headers)?);
    caller.cloned().ok_or_else(|| unauthorized("the key is not known"))
}

/// The key of a bearer header. The scheme's name is case-insensitive (RFC 9110,
/// section 11.1).
fn bearer_key(text: &str) -> Option<&str> {
    let (scheme, key) = text.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

impl Caller {
    /// Checks that the workspace may call the service.
    pub fn check_access(&self, service: &ServiceName) -> Result<(), Failure> {
        if self.settings.services.contains(service) {
            return Ok(());
        }
        let message = format!("workspace {} may not call service {service}", self.workspace);
        Err(Failure::not_run(StatusCode::FORBIDDEN, "forbidden", message))
    }
}
