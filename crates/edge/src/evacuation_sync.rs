//! Reads the operator's evacuations from the store and exchanges them with other routers.

use std::{net::IpAddr, rc::Rc, time::Duration};

use span_types::{FailureDomain, ServiceName, UpstreamName};
use tokio::time::sleep;
use tracing::{info, warn};

use crate::{
    evacuation::{EvacuationChange, EvacuationChangeKind, EvacuationEvent, EvacuationNews},
    metrics::Counter,
    node::Node,
    peers::Packet,
    store::{Position, Store, StoreError},
    store_sync::{Backoff, Purpose, record_result, wait_until_reading},
};

/// Longest wait of a watch, as a fraction of the time within which an evacuation has to
/// be in force. A silent connection is noticed only when the wait is over; a list and the
/// messages to other routers follow.
const WATCH_WAIT_DIVISOR: u64 = 3;
/// Shortest such wait, in milliseconds, so that a tiny bound does not flood the store.
const MIN_WATCH_WAIT_MS: u64 = 200;

impl Node {
    /// Whether this router reads the evacuations from the store.
    pub(crate) fn reads_evacuations(&self) -> bool {
        let now_ms = self.now_ms();
        let is_enabled = self.settings().fleet_limits.evacuation_ms.is_some();
        if !is_enabled || self.awaits_peers() {
            return false;
        }
        let mut state = self.state();
        let order = state.read_order();
        state.evacuations.lacks_news(now_ms) || state.store_source.reads_store(now_ms, order)
    }

    /// Takes over what another router knows of evacuations.
    pub(crate) fn learn_evacuations(&self, from: IpAddr, news: EvacuationNews) {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let awaited_news = state.evacuations.awaits_news(now_ms);
        let changes = state.evacuations.receive(now_ms, news);
        drop(state);
        self.evacuations_changed(&changes, awaited_news, &format!("router at {from}"));
    }

    /// Ends evacuations that are over, and the wait for the first news.
    pub(crate) fn tick_evacuations(&self, awaited_news: bool) -> bool {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let changes = state.evacuations.expire(now_ms);
        let awaits_news = state.evacuations.awaits_news(now_ms);
        drop(state);
        self.evacuations_changed(&changes, awaited_news && !awaits_news, "no entry in the store");
        awaits_news
    }

    /// Applies changes to the services. `awaited_news` says whether the process did not
    /// know of evacuations until now.
    fn evacuations_changed(&self, changes: &[EvacuationChange], awaited_news: bool, cause: &str) {
        let now_ms = self.now_ms();
        if changes.is_empty() && !awaited_news {
            return;
        }
        let mut state = self.state();
        state.sync_upstreams(now_ms);
        let position = state.evacuations.position();
        for change in changes {
            state.metrics.count(Counter::EvacuationChanges);
            let upstreams = state.registry.count_in(&change.failure_domain);
            let failure_domain = change.failure_domain.as_str();
            let (era, revision, age_ms) = (position.era, position.revision, change.age_ms);
            let kind: &'static str = change.kind.into();
            match change.kind {
                EvacuationChangeKind::Evacuated | EvacuationChangeKind::TakenBack => info!(
                    failure_domain,
                    change = kind,
                    cause,
                    age_ms,
                    upstreams,
                    era,
                    revision,
                    "evacuation changed"
                ),
                EvacuationChangeKind::HeldAfterRestore | EvacuationChangeKind::NotRestored => {
                    warn!(
                        failure_domain,
                        change = kind,
                        cause,
                        age_ms,
                        upstreams,
                        era,
                        revision,
                        "evacuation changed"
                    );
                }
            }
        }
        drop(state);
        self.share_evacuations();
        self.dispatch_all();
    }

    /// Tells other routers of the evacuations.
    pub(crate) fn share_evacuations(&self) {
        let now_ms = self.now_ms();
        let state = self.state();
        let Some(news) = state.evacuations.news(now_ms) else {
            return;
        };
        let receivers = state.evacuations.receivers(now_ms, &state.view, state.role());
        drop(state);
        if !receivers.is_empty() {
            self.outbox.push(receivers, Packet::Evacuations(news));
        }
    }

    /// Whether an upstream gets no requests because its failure domain is evacuated.
    pub(crate) fn is_evacuated(&self, upstream: &UpstreamName) -> bool {
        let state = self.state();
        !state.evacuations.is_empty()
            && state
                .registry
                .get(upstream)
                .is_some_and(|entry| state.evacuations.is_evacuated(&entry.failure_domain))
    }

    /// Whether all upstreams of a service are in evacuated failure domains.
    pub(crate) fn is_service_evacuated(&self, service: &ServiceName) -> bool {
        let state = self.state();
        state.evacuations.covers_service(&state.registry, service)
    }
}

/// Watches the evacuations until the process ends. Makes no call in a deployment that has
/// none.
pub(crate) async fn watch_evacuations(node: Rc<Node>, store: Store) {
    let mut backoff = Backoff::default();
    // What another router told of can be watched from its position.
    let mut needs_list = false;
    loop {
        wait_until_reading(&node, Node::reads_evacuations).await;
        let Some(bound_ms) = node.settings().fleet_limits.evacuation_ms else {
            continue;
        };
        let wait_ms = (bound_ms / WATCH_WAIT_DIVISOR).max(MIN_WATCH_WAIT_MS);
        let known = node.state().evacuations.position();
        let read = if needs_list || known == Position::default() {
            let read = (store.read_evacuations)().await;
            read.and_then(|listing| {
                if listing.position < known {
                    let cause = "the list is older than what another router read".to_owned();
                    return Err(StoreError::Unavailable(cause));
                }
                Ok((listing.position, Read::All(listing.items)))
            })
        } else {
            let watched = (store.watch_evacuations)(known, wait_ms).await;
            watched.map(|changes| (changes.position, Read::Changes(changes.events)))
        };
        record_result(&node, Purpose::Evacuations, &read, backoff.failures);
        match read {
            Ok((position, read)) => {
                backoff.failures = 0;
                needs_list = false;
                apply_read(&node, position, read);
                if position == Position::default() {
                    // The store does not know the kind.
                    sleep(Duration::from_millis(wait_ms)).await;
                }
            }
            // A list that fails so is read again after a pause.
            Err(StoreError::HistoryDropped) if !needs_list => needs_list = true,
            Err(_) => backoff.pause(&node).await,
        }
    }
}

/// What the store answered.
enum Read {
    All(Vec<FailureDomain>),
    Changes(Vec<EvacuationEvent>),
}

fn apply_read(node: &Node, position: Position, read: Read) {
    let now_ms = node.now_ms();
    let mut state = node.state();
    let awaited_news = state.evacuations.awaits_news(now_ms);
    let changes = match read {
        Read::All(domains) => state.evacuations.replace(now_ms, position, domains),
        Read::Changes(events) => state.evacuations.update(now_ms, position, events),
    };
    drop(state);
    node.evacuations_changed(&changes, awaited_news, "store");
}
