//! Which workspace a caller belongs to.

use http::{HeaderMap, StatusCode, header::AUTHORIZATION};
use span_config::{Document, KeyHash, Workspace};
use span_types::{ServiceName, WorkspaceName};

use super::Failure;

/// An authenticated caller.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    /// Workspace that the key belongs to.
    pub workspace: WorkspaceName,
    /// Its configuration.
    pub settings: Workspace,
}

/// Finds the workspace of the bearer key.
pub(super) fn authenticate(document: &Document, headers: &HeaderMap) -> Result<Caller, Failure> {
    let refused = |message| Failure::not_run(StatusCode::UNAUTHORIZED, "unauthorized", message);
    let header = headers.get(AUTHORIZATION).ok_or_else(|| refused("a bearer key is needed"))?;
    let text = header.to_str().map_err(|_| refused("the key is not text"))?;
    let key = text.strip_prefix("Bearer ").ok_or_else(|| refused("a bearer key is needed"))?;
    let hash = KeyHash::of(key);
    let mut workspaces = document.workspaces.iter();
    let found = workspaces.find(|(_, workspace)| workspace.keys.contains(&hash));
    let (workspace, settings) = found.ok_or_else(|| refused("the key is not known"))?;
    Ok(Caller { workspace: workspace.clone(), settings: settings.clone() })
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
