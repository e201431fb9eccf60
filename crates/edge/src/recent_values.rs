//! Sets of values that change, and what was in them lately.

use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RecentValue {
    /// When the value left the set; none while it is in it.
    gone_ms: Option<u64>,
    /// Whether a record alone says that it was in the set so late.
    is_from_record: bool,
}

/// Values of each key now and lately.
#[derive(Debug)]
pub struct RecentValues<K, V> {
    values: BTreeMap<K, BTreeMap<V, RecentValue>>,
}

impl<K, V> Default for RecentValues<K, V> {
    fn default() -> Self {
        Self { values: BTreeMap::new() }
    }
}

impl<K: Ord + Clone, V: Ord + Clone> RecentValues<K, V> {
    /// Records the values that `key` has from now on.
    pub fn set(&mut self, now_ms: u64, key: &K, present: &BTreeSet<V>) {
        let values = self.values.entry(key.clone()).or_default();
        for (value, recent) in values.iter_mut() {
            if !present.contains(value) {
                recent.gone_ms.get_or_insert(now_ms);
            }
        }
        let seen = RecentValue { gone_ms: None, is_from_record: false };
        values.extend(present.iter().map(|value| (value.clone(), seen)));
    }

    /// As [`RecentValues::set`], for all keys. Those that are missing have no values.
    pub fn set_all(&mut self, now_ms: u64, present: &BTreeMap<K, BTreeSet<V>>) {
        let gone = self.values.keys().filter(|key| !present.contains_key(key));
        for key in gone.cloned().collect::<Vec<K>>() {
            self.set(now_ms, &key, &BTreeSet::new());
        }
        for (key, values) in present {
            self.set(now_ms, key, values);
        }
    }

    /// Records that `key` has or had `value` elsewhere until now.
    pub fn note(&mut self, now_ms: u64, key: &K, value: &V) {
        let values = self.values.entry(key.clone()).or_default();
        let noted = RecentValue { gone_ms: Some(now_ms), is_from_record: false };
        let recent = values.entry(value.clone()).or_insert(noted);
        if recent.gone_ms.is_some() {
            *recent = noted;
        }
    }

    /// Takes over a record of the values that keys had lately. Values that are not known yet,
    /// or were gone for `lifetime_ms`, count as gone from now on: another router has seen them
    /// later. Those that only an earlier record named, and this complete one does not, have
    /// been gone for long enough.
    pub fn add_record(
        &mut self,
        now_ms: u64,
        record: &BTreeMap<K, BTreeSet<V>>,
        is_complete: bool,
        lifetime_ms: u64,
    ) {
        for (key, values) in &mut self.values {
            let recorded = record.get(key);
            values.retain(|value, recent| {
                let is_recorded = recorded.is_some_and(|recorded| recorded.contains(value));
                !recent.is_from_record || !is_complete || is_recorded
            });
        }
        let gone = RecentValue { gone_ms: Some(now_ms), is_from_record: true };
        for (key, recorded) in record {
            let values = self.values.entry(key.clone()).or_default();
            for value in recorded {
                let known = values.entry(value.clone()).or_insert(gone);
                if !is_recent(now_ms, known, lifetime_ms) {
                    *known = gone;
                }
            }
        }
    }

    /// Keys that have or had values.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.values.keys()
    }

    /// Values that `key` has, or had within `lifetime_ms`.
    pub fn recent(&self, now_ms: u64, key: &K, lifetime_ms: u64) -> impl Iterator<Item = &V> {
        self.recent_by(now_ms, key, move |_| lifetime_ms)
    }

    /// Values that `key` has, or had within the lifetime of each in milliseconds.
    pub fn recent_by(
        &self,
        now_ms: u64,
        key: &K,
        lifetime_ms: impl Fn(&V) -> u64,
    ) -> impl Iterator<Item = &V> {
        let values = self.values.get(key).into_iter().flatten();
        let recent =
            values.filter(move |(value, recent)| is_recent(now_ms, recent, lifetime_ms(value)));
        recent.map(|(value, _)| value)
    }

    /// Whether a key has, or had within `lifetime_ms`, `value` and another one.
    pub fn is_ambiguous(&self, now_ms: u64, value: &V, lifetime_ms: u64) -> bool {
        self.values.values().any(|values| {
            let has = |of: &dyn Fn(&V) -> bool| {
                let mut values = values.iter();
                values.any(|(value, recent)| of(value) && is_recent(now_ms, recent, lifetime_ms))
            };
            has(&|other| other == value) && has(&|other| other != value)
        })
    }

    /// As [`RecentValues::recent`], for all keys that have or had any.
    pub fn all_recent(&self, now_ms: u64, lifetime_ms: u64) -> BTreeMap<K, BTreeSet<V>> {
        let keys = self.values.keys().map(|key| {
            (key.clone(), self.recent(now_ms, key, lifetime_ms).cloned().collect::<BTreeSet<V>>())
        });
        keys.filter(|(_, values)| !values.is_empty()).collect()
    }

    /// Values that keys have now.
    pub fn all_present(&self) -> BTreeMap<K, BTreeSet<V>> {
        let keys = self.values.iter().map(|(key, values)| {
            let present = values.iter().filter(|(_, recent)| recent.gone_ms.is_none());
            (key.clone(), present.map(|(value, _)| value.clone()).collect::<BTreeSet<V>>())
        });
        keys.filter(|(_, values)| !values.is_empty()).collect()
    }

    /// Forgets the values that were gone for `lifetime_ms`.
    pub fn expire(&mut self, now_ms: u64, lifetime_ms: u64) {
        for values in self.values.values_mut() {
            values.retain(|_, recent| is_recent(now_ms, recent, lifetime_ms));
        }
        self.values.retain(|_, values| !values.is_empty());
    }
}

fn is_recent(now_ms: u64, recent: &RecentValue, lifetime_ms: u64) -> bool {
    recent.gone_ms.is_none_or(|gone_ms| now_ms.saturating_sub(gone_ms) < lifetime_ms)
}
