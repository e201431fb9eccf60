//! Follows the platform's store: configuration, upstreams, routers.

use std::{rc::Rc, time::Duration};

use span_member::ListedInstance;
use tokio::time::sleep;
use tracing::{info, warn};

use crate::{
    metrics::Counter,
    node::Node,
    registry::Change,
    store::{Store, StoreError, UpstreamEvent},
};

/// Longest wait of a watch, in milliseconds. A connection that went silent is
/// noticed when the wait is over, which has to be well within the time in
/// which configurations come into force.
const WATCH_WAIT_MS: u64 = 1_500;
/// Pause between two watches of the upstreams, in milliseconds. Each renewal
/// of an entry is a change, so that a watch answers almost at once; the pause
/// collects changes. An upstream that leaves is noticed that much later.
const UPSTREAM_PAUSE_MS: u64 = 500;
/// Pause after the first failed call to the store, and at most, in
/// milliseconds; doubled with each failure.
const BACKOFF_MS: (u64, u64) = (100, 500);
/// Interval between two reads of the registered routers, in milliseconds.
/// Heartbeats spread the news of new routers much faster; the list finds
/// those that no heartbeat reaches.
const ROUTERS_INTERVAL_MS: u64 = 15_000;

/// Pause between two checks of whether the collector can be relied on, in
/// milliseconds.
const RELIED_CHECK_MS: u64 = 100;

struct Backoff {
    failures: u32,
}

impl Backoff {
    async fn pause(&mut self, node: &Node) {
        let pause_ms = (BACKOFF_MS.0 << self.failures.min(8)).min(BACKOFF_MS.1);
        self.failures += 1;
        let jittered_ms = (pause_ms as f64 * (0.5 + node.draw())) as u64;
        sleep(Duration::from_millis(jittered_ms)).await;
    }
}

/// Notes the result of a call to the store.
fn note<T>(node: &Node, what: &'static str, result: &Result<T, StoreError>, failures: u32) {
    node.count(Counter::StoreCalls);
    let now_ms = node.now_ms();
    let lapse_ms = node.settings().entry_renewal_interval_ms;
    match result {
        Ok(_) | Err(StoreError::HistoryDropped) => {
            let mut state = node.state();
            state.registry.store_answered(now_ms, lapse_ms);
            state.store_answered_ms = now_ms;
            drop(state);
            if failures > 0 {
                info!(what, failures, "the store answers again");
            }
        }
        Err(error) => {
            node.count(Counter::StoreFailures);
            node.state().registry.store_failed(now_ms);
            if failures == 0 {
                warn!(what, error = %error, "the store does not answer");
            }
        }
    }
}

/// Waits for as long as this router does not follow the store itself.
async fn until_followed(node: &Node, follows: impl Fn(&Node) -> bool) {
    while !follows(node) {
        sleep(Duration::from_millis(RELIED_CHECK_MS)).await;
    }
}

/// Follows the configuration until the process ends.
pub(crate) async fn config(node: Rc<Node>, store: Store) {
    let mut backoff = Backoff { failures: 0 };
    loop {
        until_followed(&node, Node::follows_config).await;
        let read = (store.read_config)().await;
        note(&node, "config", &read, backoff.failures);
        let Ok(listing) = read else {
            backoff.pause(&node).await;
            continue;
        };
        backoff.failures = 0;
        for config in listing.items {
            node.apply_config(config, "store");
        }
        let mut revision = listing.revision;
        node.state().reliance.config_read();
        while node.follows_config() {
            let watched = (store.watch_config)(revision, WATCH_WAIT_MS).await;
            note(&node, "config", &watched, backoff.failures);
            match watched {
                Ok(changes) => {
                    backoff.failures = 0;
                    revision = changes.revision;
                    for config in changes.events {
                        node.apply_config(config, "store");
                    }
                }
                Err(StoreError::HistoryDropped) => break,
                Err(_) => backoff.pause(&node).await,
            }
        }
    }
}

/// Follows the entries of upstreams until the process ends.
pub(crate) async fn upstreams(node: Rc<Node>, store: Store) {
    let mut backoff = Backoff { failures: 0 };
    loop {
        until_followed(&node, Node::follows_upstreams).await;
        let read = (store.read_upstreams)().await;
        note(&node, "upstreams", &read, backoff.failures);
        let Ok(listing) = read else {
            backoff.pause(&node).await;
            continue;
        };
        backoff.failures = 0;
        replace(&node, listing.items);
        let mut revision = listing.revision;
        {
            let mut state = node.state();
            state.registry.at_revision(revision);
            state.reliance.upstreams_read();
        }
        while node.follows_upstreams() {
            let watched = (store.watch_upstreams)(revision, WATCH_WAIT_MS).await;
            note(&node, "upstreams", &watched, backoff.failures);
            match watched {
                Ok(changes) => {
                    backoff.failures = 0;
                    revision = changes.revision;
                    update(&node, changes.events);
                    node.state().registry.at_revision(revision);
                    sleep(Duration::from_millis(UPSTREAM_PAUSE_MS)).await;
                }
                Err(StoreError::HistoryDropped) => break,
                Err(_) => backoff.pause(&node).await,
            }
        }
    }
}

fn replace(node: &Node, events: Vec<UpstreamEvent>) {
    let now_ms = node.now_ms();
    let entries = events.into_iter().filter_map(|event| Some((event.name, event.entry?)));
    let changes = node.state().registry.replace(now_ms, entries.collect());
    node.apply_changes(&changes);
}

fn update(node: &Node, events: Vec<UpstreamEvent>) {
    let now_ms = node.now_ms();
    let mut changes: Vec<Change> = Vec::new();
    {
        let mut state = node.state();
        for UpstreamEvent { name, entry } in events {
            changes.extend(match entry {
                Some(entry) => state.registry.update(name, entry),
                None => state.registry.remove(now_ms, &name),
            });
        }
    }
    node.apply_changes(&changes);
}

/// Registers this router and reads which others are registered, until the
/// process ends.
pub(crate) async fn routers(node: Rc<Node>, store: Store) {
    let me = node.state().view.own_update().router.clone();
    let mut backoff = Backoff { failures: 0 };
    loop {
        let registered = (store.register)(me.clone()).await;
        note(&node, "register", &registered, backoff.failures);
        if registered.is_ok() {
            break;
        }
        backoff.pause(&node).await;
    }
    loop {
        let read = (store.read_routers)().await;
        note(&node, "routers", &read, 0);
        if let Ok(routers) = read {
            let listed =
                routers.into_iter().map(|router| ListedInstance { router, leaving: false });
            node.state().view.set_listed_instances(listed.collect());
        }
        sleep(Duration::from_millis(ROUTERS_INTERVAL_MS)).await;
    }
}
