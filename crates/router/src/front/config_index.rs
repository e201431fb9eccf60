//! The configuration in force, indexed for look-ups per request.

use std::{collections::HashMap, sync::Arc};

use span_config::{Document, KeyHash};
use span_types::ServiceName;

use super::auth::Caller;

/// A configuration with its indexes; rebuilt when the configuration changes,
/// so that no request scans all workspaces or services.
#[derive(Debug, Default)]
pub(crate) struct ConfigIndex {
    /// Whether any configuration has been in force. Until then the router does
    /// not know which keys there are.
    pub is_configured: bool,
    /// The configuration.
    pub document: Arc<Document>,
    callers: HashMap<KeyHash, Caller>,
    models: HashMap<Arc<str>, ServiceName>,
}

impl ConfigIndex {
    /// Indexes a configuration.
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

    /// Caller that a key belongs to.
    pub fn caller(&self, key: &KeyHash) -> Option<&Caller> {
        self.callers.get(key)
    }

    /// Service that has a model.
    pub fn service_for_model(&self, model: &str) -> Option<&ServiceName> {
        self.models.get(model)
    }
}
