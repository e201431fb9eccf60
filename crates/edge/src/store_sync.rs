//! Watches the platform's store for configuration, upstreams and routers.

use std::{rc::Rc, time::Duration};

use span_member::ListedInstance;
use tokio::time::sleep;
use tracing::{info, warn};

use crate::{
    metrics::Counter,
    node::Node,
    registry::UpstreamChange,
    store::{Store, StoreError, UpstreamEvent},
};

/// Longest wait of a watch, in milliseconds. A silent connection is noticed only
/// when the wait is over, which must be well within the time by which a new
/// configuration has to be in force.
const WATCH_WAIT_MS: u64 = 1_500;
/// Pause between two watches of the upstreams, in milliseconds. Each renewal of
/// an entry is a change, so a watch returns almost at once; the pause batches
/// changes. It delays the notice of a leaving upstream by as much.
const UPSTREAMS_PAUSE_MS: u64 = 500;
/// Shortest and longest pause after a failed call to the store, in milliseconds,
/// before jitter of up to half of it. The pause doubles with each failure.
const MIN_AND_MAX_BACKOFF_MS: (u64, u64) = (100, 500);
/// Interval between two reads of the registered routers, in milliseconds.
/// Heartbeats spread new routers much faster; the list finds those that no
/// heartbeat reaches.
const ROUTERS_INTERVAL_MS: u64 = 15_000;

/// Interval between two checks of whether the collector is available, in
/// milliseconds.
const COLLECTOR_CHECK_INTERVAL_MS: u64 = 100;

/// Exponential backoff with jitter.
struct Backoff {
    failures: u32,
}

impl Backoff {
    async fn pause(&mut self, node: &Node) {
        let pause_ms =
            (MIN_AND_MAX_BACKOFF_MS.0 << self.failures.min(8)).min(MIN_AND_MAX_BACKOFF_MS.1);
        self.failures += 1;
        let jittered_ms = (pause_ms as f64 * (0.5 + node.random_fraction())) as u64;
        sleep(Duration::from_millis(jittered_ms)).await;
    }
}

/// Records the result of a call to the store, and logs the first failure and the
/// recovery.
fn record_result<T>(
    node: &Node,
    what: &'static str,
    result: &Result<T, StoreError>,
    failures: u32,
) {
    node.count(Counter::StoreCalls);
    let now_ms = node.now_ms();
    let min_expiry_ms = node.settings().entry_renewal_interval_ms;
    match result {
        Ok(_) | Err(StoreError::HistoryDropped) => {
            let mut state = node.state();
            state.registry.store_answered(now_ms, min_expiry_ms);
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

/// Waits while the collector provides what this router would watch the store for.
async fn wait_until_watching(node: &Node, watches: impl Fn(&Node) -> bool) {
    while !watches(node) {
        sleep(Duration::from_millis(COLLECTOR_CHECK_INTERVAL_MS)).await;
    }
}

/// Watches the configuration until the process ends.
pub(crate) async fn watch_config(node: Rc<Node>, store: Store) {
    let mut backoff = Backoff { failures: 0 };
    loop {
        wait_until_watching(&node, Node::watches_config).await;
        let read = (store.read_config)().await;
        record_result(&node, "config", &read, backoff.failures);
        let Ok(listing) = read else {
            backoff.pause(&node).await;
            continue;
        };
        backoff.failures = 0;
        for config in listing.items {
            node.apply_config(config, "store");
        }
        let mut revision = listing.revision;
        node.state().collector_status.record_config_read();
        while node.watches_config() {
            let watched = (store.watch_config)(revision, WATCH_WAIT_MS).await;
            record_result(&node, "config", &watched, backoff.failures);
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

/// Watches the upstream entries until the process ends.
pub(crate) async fn watch_upstreams(node: Rc<Node>, store: Store) {
    let mut backoff = Backoff { failures: 0 };
    loop {
        wait_until_watching(&node, Node::watches_upstreams).await;
        let read = (store.read_upstreams)().await;
        record_result(&node, "upstreams", &read, backoff.failures);
        let Ok(listing) = read else {
            backoff.pause(&node).await;
            continue;
        };
        backoff.failures = 0;
        replace_entries(&node, listing.items);
        let mut revision = listing.revision;
        {
            let mut state = node.state();
            state.registry.set_revision(revision);
            state.collector_status.record_upstreams_read();
        }
        while node.watches_upstreams() {
            let watched = (store.watch_upstreams)(revision, WATCH_WAIT_MS).await;
            record_result(&node, "upstreams", &watched, backoff.failures);
            match watched {
                Ok(changes) => {
                    backoff.failures = 0;
                    revision = changes.revision;
                    update_entries(&node, changes.events);
                    node.state().registry.set_revision(revision);
                    sleep(Duration::from_millis(UPSTREAMS_PAUSE_MS)).await;
                }
                Err(StoreError::HistoryDropped) => break,
                Err(_) => backoff.pause(&node).await,
            }
        }
    }
}

fn replace_entries(node: &Node, events: Vec<UpstreamEvent>) {
    let now_ms = node.now_ms();
    let entries = events.into_iter().filter_map(|event| Some((event.name, event.entry?)));
    let changes = node.state().registry.replace(now_ms, entries.collect());
    node.apply_upstream_changes(&changes);
}

fn update_entries(node: &Node, events: Vec<UpstreamEvent>) {
    let now_ms = node.now_ms();
    let mut changes: Vec<UpstreamChange> = Vec::new();
    {
        let mut state = node.state();
        for UpstreamEvent { name, entry } in events {
            changes.extend(match entry {
                Some(entry) => state.registry.update(name, entry),
                None => state.registry.remove(now_ms, &name),
            });
        }
    }
    node.apply_upstream_changes(&changes);
}

/// Registers this router, then reads the registered routers periodically until
/// the process ends.
pub(crate) async fn sync_routers(node: Rc<Node>, store: Store) {
    let own_router = node.state().view.own_update().router.clone();
    let mut backoff = Backoff { failures: 0 };
    loop {
        let registered = (store.register)(own_router.clone()).await;
        record_result(&node, "register", &registered, backoff.failures);
        if registered.is_ok() {
            break;
        }
        backoff.pause(&node).await;
    }
    loop {
        let read = (store.read_routers)().await;
        record_result(&node, "routers", &read, 0);
        if let Ok(routers) = read {
            let listed =
                routers.into_iter().map(|router| ListedInstance { router, leaving: false });
            node.state().view.set_listed_instances(listed.collect());
        }
        sleep(Duration::from_millis(ROUTERS_INTERVAL_MS)).await;
    }
}
