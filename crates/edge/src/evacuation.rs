//! Failure domains whose upstreams the operator has evacuated: they get no requests until
//! the operator takes the failure domain back.
//!
//! What a router knows is the set of all evacuations at one position of the store. News
//! with a later position replaces it, whether it comes from the store or from another
//! router, so that news may be lost, repeated or out of order.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    net::IpAddr,
};

use serde::{Deserialize, Serialize};
use span_member::MembershipView;
use span_types::{FailureDomain, ServiceName};

use crate::{placement::ReadyUpstream, registry::Registry, role::Role, store::Position};

/// Time for which an evacuation that a restored store does not list stays in force, in
/// milliseconds. The operator writes again what the store lost, after an outage of
/// seconds.
pub const RESTORED_HOLD_MS: u64 = 10_000;
/// Time after the start of the process for which no upstream gets requests unless the
/// evacuations are known, in milliseconds. The store and other routers answer within
/// milliseconds, and collectors tell of evacuations several times in this time.
pub const START_HOLD_MS: u64 = 1_000;
/// Time without news from which a router reads the evacuations from the store itself, in
/// milliseconds. Several messages may be lost. The collector may also run software that
/// knows no evacuations.
const NEWS_TIMEOUT_MS: u64 = 2_000;
/// Time after a change for which every router tells others of it, in milliseconds.
const SHARE_AFTER_CHANGE_MS: u64 = 10_000;

/// An evacuation as one router tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedEvacuation {
    /// The evacuated failure domain.
    pub failure_domain: FailureDomain,
    /// Time since a router learned of the evacuation, in milliseconds.
    pub age_ms: u64,
    /// Time after which the evacuation ends, in milliseconds; none for one that the store
    /// lists.
    pub ends_in_ms: Option<u64>,
}

/// All evacuations at one position of the store, as one router tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationNews {
    /// Position of the store.
    pub position: Position,
    /// The evacuations in force.
    pub evacuations: Vec<SharedEvacuation>,
}

/// An entry of the operator, or its removal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationEvent {
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// Whether the entry exists.
    pub is_evacuated: bool,
}

/// What became of an evacuation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EvacuationChangeKind {
    /// The upstreams get no more requests.
    Evacuated,
    /// A restored store does not list the evacuation, which stays in force for a while.
    HeldAfterRestore,
    /// The operator removed the entry.
    TakenBack,
    /// A restored store did not list the evacuation again in time.
    NotRestored,
}

/// A change of what a router knows of an evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// What became of it.
    pub kind: EvacuationChangeKind,
    /// Time since a router learned of the evacuation, in milliseconds.
    pub age_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Evacuation {
    /// When this router learned of it.
    learned_ms: u64,
    /// How long other routers had known of it then, in milliseconds.
    age_then_ms: u64,
    /// When it ends; none for one that the store lists.
    ends_ms: Option<u64>,
}

impl Evacuation {
    fn age_ms(&self, now_ms: u64) -> u64 {
        self.age_then_ms + now_ms.saturating_sub(self.learned_ms)
    }
}

/// The evacuations that a router knows.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Whether the deployment has evacuations.
    is_enabled: bool,
    /// Position of the store that the evacuations correspond to.
    position: Position,
    in_force: BTreeMap<FailureDomain, Evacuation>,
    /// When the store or another router last confirmed what is known.
    confirmed_ms: u64,
    changed_ms: Option<u64>,
}

impl Evacuations {
    /// Sets whether the deployment has evacuations. Without them, none is in force.
    pub fn set_enabled(&mut self, is_enabled: bool) {
        if is_enabled != self.is_enabled {
            *self = Self { is_enabled, ..Self::default() };
        }
    }

    /// Position of the store that the evacuations correspond to; the default one before
    /// any is known.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Takes over a list from the store, unless newer news has arrived meanwhile.
    pub fn replace(
        &mut self,
        now_ms: u64,
        position: Position,
        listed: impl IntoIterator<Item = FailureDomain>,
    ) -> Vec<EvacuationChange> {
        let shared = listed.into_iter().map(|failure_domain| SharedEvacuation {
            failure_domain,
            age_ms: 0,
            ends_in_ms: None,
        });
        self.receive(now_ms, EvacuationNews { position, evacuations: shared.collect() })
    }

    /// Applies the changes in the store up to `position` since any position that this
    /// router has known in the same era.
    pub fn update(
        &mut self,
        now_ms: u64,
        position: Position,
        events: Vec<EvacuationEvent>,
    ) -> Vec<EvacuationChange> {
        if position.era != self.position.era {
            return Vec::new();
        }
        let is_listed = |evacuation: &&Evacuation| evacuation.ends_ms.is_none();
        let known = self.in_force.iter();
        let known = known.filter(|(_, evacuation)| is_listed(evacuation));
        let mut listed: BTreeSet<FailureDomain> = known.map(|(domain, _)| domain.clone()).collect();
        // An entry that was written again and then removed ends what was held for it.
        if position > self.position {
            for event in &events {
                if !event.is_evacuated
                    && let Some(held) = self.in_force.get_mut(&event.failure_domain)
                {
                    held.ends_ms = None;
                }
            }
        }
        for EvacuationEvent { failure_domain, is_evacuated } in events {
            if is_evacuated {
                listed.insert(failure_domain);
            } else {
                listed.remove(&failure_domain);
            }
        }
        self.replace(now_ms, position, listed)
    }

    /// Takes over what another router knows if it is newer. Evacuations that only that
    /// router holds after a restore are taken over only on the way into the new era:
    /// later, this router has its own.
    pub fn receive(&mut self, now_ms: u64, news: EvacuationNews) -> Vec<EvacuationChange> {
        let EvacuationNews { position, evacuations } = news;
        if !self.is_enabled || position < self.position || position == Position::default() {
            return Vec::new();
        }
        self.confirmed_ms = now_ms;
        if position == self.position {
            return Vec::new();
        }
        let begins_era = position.era > self.position.era || self.position == Position::default();
        self.position = position;
        let mut changes = Vec::new();
        let mut before = mem::take(&mut self.in_force);
        for SharedEvacuation { failure_domain, age_ms, ends_in_ms } in evacuations {
            if ends_in_ms.is_some() && !begins_era {
                continue;
            }
            let known = before.remove(&failure_domain);
            let ends_ms = ends_in_ms.map(|ends_in_ms| now_ms + ends_in_ms.min(RESTORED_HOLD_MS));
            let (learned_ms, age_then_ms) =
                known.map_or((now_ms, age_ms), |known| (known.learned_ms, known.age_then_ms));
            let evacuation = Evacuation { learned_ms, age_then_ms, ends_ms };
            if known.is_none() {
                let kind = EvacuationChangeKind::Evacuated;
                let failure_domain = failure_domain.clone();
                changes.push(EvacuationChange { failure_domain, kind, age_ms });
            }
            self.in_force.insert(failure_domain, evacuation);
        }
        for (failure_domain, mut evacuation) in before {
            let age_ms = evacuation.age_ms(now_ms);
            let was_listed = evacuation.ends_ms.is_none();
            let is_held = begins_era || !was_listed;
            let kind = if is_held {
                evacuation.ends_ms.get_or_insert(now_ms + RESTORED_HOLD_MS);
                self.in_force.insert(failure_domain.clone(), evacuation);
                EvacuationChangeKind::HeldAfterRestore
            } else {
                EvacuationChangeKind::TakenBack
            };
            if was_listed {
                changes.push(EvacuationChange { failure_domain, kind, age_ms });
            }
        }
        if !changes.is_empty() {
            self.changed_ms = Some(now_ms);
        }
        changes
    }

    /// Ends the evacuations that a restored store has not listed again in time.
    pub fn expire(&mut self, now_ms: u64) -> Vec<EvacuationChange> {
        let is_over =
            |evacuation: &Evacuation| evacuation.ends_ms.is_some_and(|ends_ms| now_ms >= ends_ms);
        let ended = self.in_force.iter().filter(|(_, evacuation)| is_over(evacuation));
        let changes: Vec<EvacuationChange> = ended
            .map(|(failure_domain, evacuation)| EvacuationChange {
                failure_domain: failure_domain.clone(),
                kind: EvacuationChangeKind::NotRestored,
                age_ms: evacuation.age_ms(now_ms),
            })
            .collect();
        self.in_force.retain(|_, evacuation| !is_over(evacuation));
        if !changes.is_empty() {
            self.changed_ms = Some(now_ms);
        }
        changes
    }

    /// What this router tells others; none before anything is known.
    pub fn news(&self, now_ms: u64) -> Option<EvacuationNews> {
        let evacuations = self.in_force.iter().map(|(failure_domain, evacuation)| {
            let ends_ms = evacuation.ends_ms;
            SharedEvacuation {
                failure_domain: failure_domain.clone(),
                age_ms: evacuation.age_ms(now_ms),
                ends_in_ms: ends_ms.map(|ends_ms| ends_ms.saturating_sub(now_ms)),
            }
        });
        let news = EvacuationNews { position: self.position, evacuations: evacuations.collect() };
        (self.position > Position::default()).then_some(news)
    }

    /// Routers that this one tells of the evacuations: a collector its members and the
    /// other collectors. A member tells its collector of a recent change, as it may have
    /// read the store while no collector reached it. In a small fleet, where each router
    /// reads the store, the news is for those that cannot reach it.
    pub fn receivers(&self, now_ms: u64, view: &MembershipView, role: Option<Role>) -> Vec<IpAddr> {
        let has_recent_change = self.has_recent_change(now_ms);
        match role {
            Some(Role::Collector { members, other_collectors, .. }) => {
                members.into_iter().map(|(_, ip)| ip).chain(other_collectors).collect()
            }
            Some(Role::Member { collector_ip, .. }) if has_recent_change => vec![collector_ip],
            None if has_recent_change || !self.is_empty() => {
                let own_name = &view.own_update().router.member.instance;
                let others = view.live_routers().into_iter();
                let others = others.filter(|router| router.member.instance != *own_name);
                others.map(|router| router.peer_address.ip()).collect()
            }
            Some(Role::Member { .. }) | None => Vec::new(),
        }
    }

    /// Whether others may not have heard of a change yet.
    fn has_recent_change(&self, now_ms: u64) -> bool {
        self.changed_ms
            .is_some_and(|changed_ms| now_ms.saturating_sub(changed_ms) < SHARE_AFTER_CHANGE_MS)
    }

    /// Whether this router has to read the evacuations from the store, although others do
    /// that for it as a rule: it has not heard of them.
    pub fn lacks_news(&self, now_ms: u64) -> bool {
        self.is_enabled && now_ms.saturating_sub(self.confirmed_ms) >= NEWS_TIMEOUT_MS
    }

    /// Whether this process has just started and knows of no evacuations yet, so that it
    /// does not know where it may send requests.
    pub fn awaits_news(&self, now_ms: u64) -> bool {
        self.is_enabled && self.position == Position::default() && now_ms < START_HOLD_MS
    }

    /// Whether the upstreams of a failure domain get no requests.
    pub fn is_evacuated(&self, failure_domain: &FailureDomain) -> bool {
        self.in_force.contains_key(failure_domain)
    }

    /// Whether the deployment has evacuations.
    pub fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Number of failure domains that are evacuated.
    pub fn len(&self) -> usize {
        self.in_force.len()
    }

    /// Whether no failure domain is evacuated.
    pub fn is_empty(&self) -> bool {
        self.in_force.is_empty()
    }

    /// Upstreams of a service that get requests.
    pub fn open_upstreams<'a>(
        &'a self,
        now_ms: u64,
        registry: &'a Registry,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = ReadyUpstream<'a>> {
        let knows_evacuations = !self.awaits_news(now_ms);
        let ready = registry.ready(service).filter(move |(_, entry)| {
            knows_evacuations && !self.is_evacuated(&entry.failure_domain)
        });
        ready.map(|(name, entry)| ReadyUpstream {
            name,
            slots: entry.slots,
            software_version: &entry.software_version,
            failure_domain: &entry.failure_domain,
        })
    }

    /// Whether all upstreams of a service that would take requests are in evacuated
    /// failure domains.
    pub fn covers_service(&self, registry: &Registry, service: &ServiceName) -> bool {
        let mut domains = registry.ready(service).map(|(_, entry)| &entry.failure_domain);
        !self.is_empty()
            && domains.next().is_some_and(|first| {
                self.is_evacuated(first) && domains.all(|domain| self.is_evacuated(domain))
            })
    }
}
