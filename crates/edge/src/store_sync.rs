//! Watches the platform's store for configuration, upstreams and routers.

use std::{rc::Rc, time::Duration};

use span_member::{ListedInstance, Router};
use tokio::time::sleep;
use tracing::{info, warn};

use crate::{
    cold::ColdSource,
    metrics::Counter,
    node::Node,
    registry::UpstreamChange,
    role::Role,
    store::{Changes, Listing, Position, Store, StoreError, UpstreamEvent},
    store_source::START_WAIT_MS,
};

/// Longest wait of a watch, in milliseconds. A silent connection is noticed only
/// when the wait is over, which must be well within the time by which a new
/// configuration has to be in force.
const WATCH_WAIT_MS: u64 = 1_500;
/// Pause between two watches of the upstreams, in milliseconds. Each renewal of
/// an entry is a change, so a watch returns almost at once; the pause batches
/// changes. It delays the notice of a leaving upstream by as much.
const UPSTREAMS_PAUSE_MS: u64 = 500;
/// Pause between two reads of entries that are wanted at once, in milliseconds.
const WANTED_ENTRIES_PAUSE_MS: u64 = 100;
/// Longest time by which the entries of a router that the store answers may be older than its last
/// answer, in milliseconds.
pub(crate) const MAX_ENTRIES_LAG_MS: u64 = WATCH_WAIT_MS + UPSTREAMS_PAUSE_MS;
/// Shortest and longest pause after a failed call to the store, in milliseconds,
/// before jitter of up to half of it. The pause doubles with each failure.
const MIN_AND_MAX_BACKOFF_MS: (u64, u64) = (100, 500);
/// Interval between two reads of the registered routers, in milliseconds.
/// Heartbeats spread new routers much faster; the list finds those that no
/// heartbeat reaches.
const ROUTERS_INTERVAL_MS: u64 = 15_000;
/// The same for a router that knows no other one.
const ALONE_ROUTERS_INTERVAL_MS: u64 = 2_000;

/// Interval between two checks of whether other routers provide what the store
/// holds, in milliseconds.
const SOURCE_CHECK_INTERVAL_MS: u64 = 100;

/// Exponential backoff with jitter.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    pub(crate) failures: u32,
}

impl Backoff {
    pub(crate) async fn pause(&mut self, node: &Node) {
        let pause_ms =
            (MIN_AND_MAX_BACKOFF_MS.0 << self.failures.min(8)).min(MIN_AND_MAX_BACKOFF_MS.1);
        self.failures += 1;
        let jittered_ms = (pause_ms as f64 * (0.5 + node.random_fraction())) as u64;
        sleep(Duration::from_millis(jittered_ms)).await;
    }
}

/// What a call to the store is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Purpose {
    Config,
    Upstreams,
    Evacuations,
    Register,
    Routers,
}

impl Purpose {
    fn counter(self) -> Counter {
        match self {
            Self::Config => Counter::StoreConfigCalls,
            Self::Upstreams => Counter::StoreUpstreamsCalls,
            Self::Evacuations => Counter::StoreEvacuationsCalls,
            Self::Register | Self::Routers => Counter::StoreRoutersCalls,
        }
    }
}

/// Records the result of a call to the store, and logs the first failure and the
/// recovery.
pub(crate) fn record_result<T>(
    node: &Node,
    purpose: Purpose,
    result: &Result<T, StoreError>,
    failures: u32,
) {
    let what: &'static str = purpose.into();
    node.count(Counter::StoreCalls);
    node.count(purpose.counter());
    let now_ms = node.now_ms();
    let min_expiry_ms = node.settings().entry_renewal_interval_ms;
    match result {
        Ok(_) | Err(StoreError::HistoryDropped) => {
            let mut state = node.state();
            state.registry.store_answered(now_ms, min_expiry_ms);
            state.store_source.record_answer(now_ms);
            state.processes.store_answered(now_ms);
            drop(state);
            if failures > 0 {
                info!(what, failures, "the store answers again");
            }
        }
        Err(error) => {
            node.count(Counter::StoreFailures);
            let mut state = node.state();
            state.registry.store_failed(now_ms);
            state.processes.store_failed();
            drop(state);
            if failures == 0 {
                warn!(what, error = %error, "the store does not answer");
            }
        }
    }
}

/// Waits while other routers provide what this router would read from the store.
pub(crate) async fn wait_until_reading(node: &Node, reads: impl Fn(&Node) -> bool) {
    while !reads(node) {
        sleep(Duration::from_millis(SOURCE_CHECK_INTERVAL_MS)).await;
    }
}

/// Watches the configuration until the process ends.
pub(crate) async fn watch_config(node: Rc<Node>, store: Store) {
    let mut backoff = Backoff { failures: 0 };
    loop {
        wait_until_reading(&node, Node::reads_config).await;
        let read = (store.read_config)().await;
        record_result(&node, Purpose::Config, &read, backoff.failures);
        let Ok(listing) = read else {
            backoff.pause(&node).await;
            continue;
        };
        backoff.failures = 0;
        for config in listing.items {
            node.apply_config(config, "store");
        }
        let mut position = listing.position;
        node.state().store_source.record_config_read();
        while node.reads_config() {
            let watched = (store.watch_config)(position, WATCH_WAIT_MS).await;
            record_result(&node, Purpose::Config, &watched, backoff.failures);
            match watched {
                Ok(changes) => {
                    backoff.failures = 0;
                    position = changes.position;
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
        wait_until_reading(&node, Node::reads_upstreams).await;
        // Entries from another router are up to date as of their position.
        let known_position = node.state().registry.position();
        if known_position == Position::default() {
            let asked_ms = node.now_ms();
            let read = (store.read_upstreams)().await;
            let read = read.and_then(|listing| reject_earlier_era(&node, listing));
            record_result(&node, Purpose::Upstreams, &read, backoff.failures);
            let Ok(listing) = read else {
                backoff.pause(&node).await;
                continue;
            };
            backoff.failures = 0;
            replace_entries(&node, asked_ms, listing);
            node.state().store_source.record_upstreams_read();
        }
        while node.reads_upstreams() {
            let position = node.state().registry.position();
            let asked_ms = node.now_ms();
            let watched = (store.watch_upstreams)(position, WATCH_WAIT_MS).await;
            record_result(&node, Purpose::Upstreams, &watched, backoff.failures);
            match watched {
                Ok(changes) => {
                    backoff.failures = 0;
                    update_entries(&node, asked_ms, position, changes);
                    node.state().store_source.record_upstreams_read();
                    sleep(Duration::from_millis(UPSTREAMS_PAUSE_MS)).await;
                }
                Err(StoreError::HistoryDropped) => {
                    node.state().registry.set_position(Position::default());
                    break;
                }
                Err(_) => backoff.pause(&node).await,
            }
        }
    }
}

/// Reads the changes of the upstream entries at once when a stream depends on them, until the
/// process ends. Watches come with a pause, and routers that do not read the store get the entries
/// later still.
pub(crate) async fn read_wanted_entries(node: Rc<Node>, store: Store) {
    let mut failures = 0;
    loop {
        node.entries_wanted.notified().await;
        let position = node.state().registry.position();
        if position > Position::default() {
            let asked_ms = node.now_ms();
            let watched = (store.watch_upstreams)(position, 0).await;
            node.count(Counter::StoreCalls);
            node.count(Counter::StoreUpstreamsCalls);
            match watched {
                Ok(changes) => {
                    failures = 0;
                    let now_ms = node.now_ms();
                    node.state().processes.store_answered(now_ms);
                    update_entries(&node, asked_ms, position, changes);
                }
                // Those who watch the store read a list.
                Err(StoreError::HistoryDropped) => {}
                Err(error) => {
                    node.state().processes.store_failed();
                    if failures == 0 {
                        warn!(error = %error, "cannot read the entries that a stream depends on");
                    }
                    failures += 1;
                }
            }
        }
        sleep(Duration::from_millis(WANTED_ENTRIES_PAUSE_MS << failures.min(3))).await;
    }
}

/// Rejects a list of an era that is over. It would be ignored, and read again at once.
fn reject_earlier_era<T>(node: &Node, listing: Listing<T>) -> Result<Listing<T>, StoreError> {
    let (era, known_era) = (listing.position.era, node.state().registry.era());
    if era < known_era {
        let cause = format!("the list is of era {era}, but the store is in era {known_era}");
        return Err(StoreError::Unavailable(cause));
    }
    Ok(listing)
}

/// Takes over a list that the store was asked for at `asked_ms`.
fn replace_entries(node: &Node, asked_ms: u64, listing: Listing<UpstreamEvent>) {
    let Listing { items, position } = listing;
    let entries = items.into_iter().filter_map(|event| Some((event.name, event.entry?)));
    let entries = entries.collect();
    let interval_ms = node.settings().entry_renewal_interval_ms;
    node.replace_entries(position, ColdSource::Entry, |registry, now_ms| {
        registry.replace_from_store(now_ms, position, entries, interval_ms)
    });
    node.state().processes.record_entries(node.now_ms(), asked_ms, position.era);
}

/// Applies the changes since `position` that the store was asked for at `asked_ms`, unless newer
/// entries of another router have arrived meanwhile.
fn update_entries(node: &Node, asked_ms: u64, position: Position, watched: Changes<UpstreamEvent>) {
    let now_ms = node.now_ms();
    let mut changes: Vec<UpstreamChange> = Vec::new();
    {
        let mut state = node.state();
        if state.registry.position() != position {
            return;
        }
        for UpstreamEvent { name, entry } in watched.events {
            changes.extend(match entry {
                Some(entry) => {
                    let change = state.registry.update(name.clone(), entry);
                    state.record_entry_cold(now_ms, &name);
                    change
                }
                None => state.registry.remove(now_ms, &name),
            });
        }
        state.registry.set_position(watched.position);
        state.processes.record_entries(now_ms, asked_ms, position.era);
    }
    node.apply_upstream_changes(&changes);
}

/// Registers this router and reads the registered routers periodically, until the
/// process ends. In a large fleet only the collectors do: a starting router whose
/// seeds are gone finds the others through them.
pub(crate) async fn sync_routers(node: Rc<Node>, store: Store) {
    let own_router = node.state().view.own_update().router.clone();
    let mut backoff = Backoff { failures: 0 };
    // Era of the store in which this router registered: a restored store may not have
    // the registration.
    let mut registered_era = None;
    sleep(Duration::from_millis(START_WAIT_MS)).await;
    loop {
        if matches!(node.state().role(), Some(Role::Member { .. })) {
            sleep(Duration::from_millis(ALONE_ROUTERS_INTERVAL_MS)).await;
            continue;
        }
        let era = node.state().registry.era();
        if registered_era != Some(era) {
            let registered = (store.register)(own_router.clone()).await;
            record_result(&node, Purpose::Register, &registered, backoff.failures);
            if registered.is_err() {
                backoff.pause(&node).await;
                continue;
            }
            backoff.failures = 0;
            registered_era = Some(era);
        }
        let read = (store.read_routers)().await;
        record_result(&node, Purpose::Routers, &read, 0);
        if let Ok(routers) = read {
            // The store may be another copy than the one that has the registration.
            let is_own = |router: &Router| router.member.instance == own_router.member.instance;
            if !routers.iter().any(is_own) {
                registered_era = None;
            }
            let listed =
                routers.into_iter().map(|router| ListedInstance { router, leaving: false });
            node.state().view.set_listed_instances(listed.collect());
        }
        let is_alone = node.state().live_router_count() == 1;
        let interval_ms = if is_alone { ALONE_ROUTERS_INTERVAL_MS } else { ROUTERS_INTERVAL_MS };
        sleep(Duration::from_millis(interval_ms)).await;
    }
}
