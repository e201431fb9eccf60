//! Objects, instances and call counters.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

/// Largest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;
const LIST_HISTORY: usize = 256;

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Grows with each change; never reused for the same key.
    pub version: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// Condition on a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// Write whatever is there.
    None,
    /// The key must not exist.
    Absent,
    /// The object must have this version.
    Version(u64),
}

/// A write was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PutError {
    /// The condition does not hold.
    #[error("the object has version {current:?}")]
    Conflict {
        /// Version now stored, if there is one.
        current: Option<u64>,
    },
    /// The value is too large.
    #[error("the value is larger than {MAX_VALUE_BYTES} bytes")]
    TooLarge,
}

/// One row of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance.
    pub name: String,
    /// Address of the router's HTTP interface.
    pub http_address: String,
    /// Address of the router's peer interface.
    pub peer_address: String,
    /// Failure domain.
    pub failure_domain: String,
    /// The instance is about to go.
    pub leaving: bool,
}

/// Calls served since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Reads, watches among them.
    pub reads: u64,
    /// Writes, refused ones among them.
    pub writes: u64,
}

/// The data of the platform.
#[derive(Debug, Default)]
pub struct Store {
    objects: BTreeMap<String, Object>,
    next_version: u64,
    instances: BTreeMap<String, Instance>,
    list_history: VecDeque<(u64, Vec<Instance>)>,
    /// Calls served.
    pub counters: Counters,
}

impl Store {
    /// The object under `key`.
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Keys that start with `prefix`, in order.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let keys = self.objects.range(prefix.to_owned()..).map(|(key, _)| key);
        keys.take_while(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Writes an object and returns its new version.
    ///
    /// # Errors
    ///
    /// [`PutError`] if the condition does not hold or the value is too large.
    pub fn put(
        &mut self,
        key: &str,
        value: Vec<u8>,
        condition: Precondition,
    ) -> Result<u64, PutError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(PutError::TooLarge);
        }
        let current = self.objects.get(key).map(|object| object.version);
        let holds = match condition {
            Precondition::None => true,
            Precondition::Absent => current.is_none(),
            Precondition::Version(version) => current == Some(version),
        };
        if !holds {
            return Err(PutError::Conflict { current });
        }
        self.next_version += 1;
        let version = self.next_version;
        self.objects.insert(key.to_owned(), Object { version, value });
        Ok(version)
    }

    /// Removes an object; true if there was one.
    pub fn delete(&mut self, key: &str) -> bool {
        self.objects.remove(key).is_some()
    }

    /// Adds or replaces an instance.
    pub fn put_instance(&mut self, now_ms: u64, instance: Instance) {
        self.instances.insert(instance.name.clone(), instance);
        self.remember_list(now_ms);
    }

    /// Removes an instance; true if it was listed.
    pub fn delete_instance(&mut self, now_ms: u64, name: &str) -> bool {
        let removed = self.instances.remove(name).is_some();
        self.remember_list(now_ms);
        removed
    }

    /// The list as it was `lag_ms` ago.
    pub fn list(&self, now_ms: u64, lag_ms: u64) -> Vec<Instance> {
        if lag_ms == 0 {
            return self.instances.values().cloned().collect();
        }
        let old = self.list_history.iter().rev().find(|(at_ms, _)| now_ms - at_ms >= lag_ms);
        old.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn remember_list(&mut self, now_ms: u64) {
        if self.list_history.len() == LIST_HISTORY {
            self.list_history.pop_front();
        }
        self.list_history.push_back((now_ms, self.instances.values().cloned().collect()));
    }
}
