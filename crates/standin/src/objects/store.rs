//! Objects, instances and call counters.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

/// Largest value that can be stored, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;
const MAX_LIST_HISTORY_LEN: usize = 256;

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Increases with each write; never reused for the same key.
    pub version: u64,
    /// The stored bytes.
    pub value: Vec<u8>,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// Unconditional.
    None,
    /// The key must not exist.
    Absent,
    /// The object must have this version.
    Version(u64),
}

/// A write was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PutError {
    /// The precondition does not hold.
    #[error("the object has version {current:?}")]
    Conflict {
        /// Version that is stored; `None` if the object does not exist.
        current: Option<u64>,
    },
    /// The value exceeds `MAX_VALUE_BYTES`.
    #[error("the value is larger than {MAX_VALUE_BYTES} bytes")]
    TooLarge,
}

/// One entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance.
    pub name: String,
    /// Address of the router's HTTP interface.
    pub http_address: String,
    /// Address of the router's peer interface.
    pub peer_address: String,
    /// Failure domain that the instance runs in.
    pub failure_domain: String,
    /// The instance finishes its work and takes no new work.
    pub leaving: bool,
}

/// Number of calls since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Reads, including watches.
    pub reads: u64,
    /// Writes, including rejected ones.
    pub writes: u64,
}

/// Data that the platform stores.
#[derive(Debug, Default)]
pub struct Store {
    objects: BTreeMap<String, Object>,
    next_version: u64,
    instances: BTreeMap<String, Instance>,
    list_history: VecDeque<(u64, Vec<Instance>)>,
    /// Numbers of calls to the HTTP interface.
    pub counters: Counters,
}

impl Store {
    /// Returns the object stored under `key`.
    pub fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Returns the keys that start with `prefix` in ascending order.
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
        let condition_holds = match condition {
            Precondition::None => true,
            Precondition::Absent => current.is_none(),
            Precondition::Version(version) => current == Some(version),
        };
        if !condition_holds {
            return Err(PutError::Conflict { current });
        }
        self.next_version += 1;
        let version = self.next_version;
        self.objects.insert(key.to_owned(), Object { version, value });
        Ok(version)
    }

    /// Removes an object; returns false if it did not exist.
    pub fn delete(&mut self, key: &str) -> bool {
        self.objects.remove(key).is_some()
    }

    /// Adds or replaces an instance.
    pub fn put_instance(&mut self, now_ms: u64, instance: Instance) {
        self.instances.insert(instance.name.clone(), instance);
        self.record_list(now_ms);
    }

    /// Removes an instance; returns false if it was not listed.
    pub fn delete_instance(&mut self, now_ms: u64, name: &str) -> bool {
        let removed = self.instances.remove(name).is_some();
        self.record_list(now_ms);
        removed
    }

    /// Returns the instance list as it was `lag_ms` ago; empty if no list that old
    /// is known.
    pub fn list(&self, now_ms: u64, lag_ms: u64) -> Vec<Instance> {
        if lag_ms == 0 {
            return self.instances.values().cloned().collect();
        }
        let snapshot = self.list_history.iter().rev().find(|(at_ms, _)| now_ms - at_ms >= lag_ms);
        snapshot.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn record_list(&mut self, now_ms: u64) {
        if self.list_history.len() == MAX_LIST_HISTORY_LEN {
            self.list_history.pop_front();
        }
        self.list_history.push_back((now_ms, self.instances.values().cloned().collect()));
    }
}
