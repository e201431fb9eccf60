//! The configuration in force, with indexes for the lookups of each request.

use std::{collections::HashMap, sync::Arc};

use span_config::{Document, KeyHash};
use span_types::ServiceName;

use super::auth::Caller;

/// A configuration with its indexes. It is rebuilt when the configuration
/// changes, so that no request scans all workspaces or services.
#[derive(Debug, Default)]
pub(crate) struct ConfigIndex {
    /// Whether a configuration has been in force. Before that, the router knows
    /// no keys, so it must not reject a key as unknown.
    pub is_configured: bool,
    /// Configuration that is indexed.
    pub document: Arc<Document>,
    callers: HashMap<KeyHash, Caller>,
    models: HashMap<Arc<str>, ServiceName>,
}

impl ConfigIndex {
    /// Builds the indexes of a configuration.
    pub fn new(document: Arc<Document>) -> Self {
        let mut callers = HashMap::new();
        for (name, workspace) in &document.workspaces {
            let settings = Arc::new(workspace.clone());
            for key in &workspace.keys {
                let caller = Caller { workspace: name.clone(), settings: Arc::clone(&settings) };
                callers.insert(key.clone(), caller);
            }
        }
        let models = document
            .services
            .iter()
            .flat_map(|(name, service)| service.models.iter().map(move |model| (model, name)));
        Self {
            is_configured: true,
            callers,
            models: models.map(|(model, name)| (Arc::clone(model), name.clone())).collect(),
            document,
        }
    }

    /// The caller that a key belongs to; `None` for unknown keys.
    pub fn caller(&self, key: &KeyHash) -> Option<&Caller> {
        self.callers.get(key)
    }

    /// The service that offers a model; `None` for unknown models.
    pub fn service_for_model(&self, model: &str) -> Option<&ServiceName> {
        self.models.get(model)
    }
}
