//! Which workspace a caller belongs to.

use http::{HeaderMap, StatusCode, header::AUTHORIZATION};
use span_config::{KeyHash, Workspace};
use span_types::{ServiceName, WorkspaceName};

use super::{Failure, index::Index};

/// An authenticated caller.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    /// Workspace that the key belongs to.
    pub workspace: WorkspaceName,
    /// Its configuration.
    pub settings: Workspace,
}

/// Finds the workspace of the bearer key.
pub(super) fn authenticate(index: &Index, headers: &HeaderMap) -> Result<Caller, Failure> {
    let refused = |message| Failure::not_run(StatusCode::UNAUTHORIZED, "unauthorized", message);
    let header = headers.get(AUTHORIZATION).ok_or_else(|| refused("a bearer key is needed"))?;
    let text = header.to_str().map_err(|_| refused("the key is not text"))?;
    let key = bearer(text).ok_or_else(|| refused("a bearer key is needed"))?;
    let workspace = index.workspace(&KeyHash::of(key));
    let settings = workspace.and_then(|name| index.document.workspaces.get(name));
    match (workspace, settings) {
        (Some(workspace), Some(settings)) => {
            Ok(Caller { workspace: workspace.clone(), settings: settings.clone() })
        }
        _ => Err(refused("the key is not known")),
    }
}

/// The scheme's name has no case (RFC 9110, section 11.1).
fn bearer(text: &str) -> Option<&str> {
    let (scheme, key) = text.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

impl Caller {
    /// Checks that the workspace may call the service.
    pub fn may_reach(&self, service: &ServiceName) -> Result<(), Failure> {
        if self.settings.services.contains(service) {
            return Ok(());
        }
        let message = format!("workspace {} may not call service {service}", self.workspace);
        Err(Failure::not_run(StatusCode::FORBIDDEN, "forbidden", message))
    }
}
