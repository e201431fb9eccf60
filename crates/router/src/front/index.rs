//! The configuration in force, indexed for look-ups per request.

use std::{collections::HashMap, sync::Arc};

use span_config::{Document, KeyHash};
use span_types::{ServiceName, WorkspaceName};

/// A configuration with its indexes; rebuilt when the configuration changes,
/// so that no request scans all workspaces or services.
#[derive(Debug, Default)]
pub(crate) struct Index {
    /// The configuration.
    pub document: Arc<Document>,
    workspaces: HashMap<KeyHash, WorkspaceName>,
    models: HashMap<Arc<str>, ServiceName>,
}

impl Index {
    /// Indexes a configuration.
    pub fn new(document: Arc<Document>) -> Self {
        let keys = document
            .workspaces
            .iter()
            .flat_map(|(name, workspace)| workspace.keys.iter().map(move |key| (key, name)));
        let models = document
            .services
            .iter()
            .flat_map(|(name, service)| service.models.iter().map(move |model| (model, name)));
        Self {
            workspaces: keys.map(|(key, name)| (key.clone(), name.clone())).collect(),
            models: models.map(|(model, name)| (Arc::clone(model), name.clone())).collect(),
            document,
        }
    }

    /// Workspace that a key belongs to.
    pub fn workspace(&self, key: &KeyHash) -> Option<&WorkspaceName> {
        self.workspaces.get(key)
    }

    /// Service that has a model.
    pub fn service_of(&self, model: &str) -> Option<&ServiceName> {
        self.models.get(model)
    }
}
