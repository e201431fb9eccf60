//! Reads the configuration and the instance list from the platform, and newer
//! configurations from peers.

use std::{sync::Arc, time::Duration};

use span_config::{ACCEPTED_CONFIG_KEY, AcceptedConfig};
use span_member::{ListedInstance, Router};
use span_platform::{Instance, PlatformClient, Settings as PlatformSettings};
use span_types::{Incarnation, InstanceName, Member, Revision};
use span_wire::{ConfigReply, read_config};

use super::{
    heartbeat, peers,
    state::{ControlState, SharedState},
};

/// Number of routers that watch the platform for a new configuration; the
/// others receive it from peers.
const CONFIG_WATCHERS: usize = 2;
/// Interval between checks whether this router is one of the watchers.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a failed call to the platform.
const PLATFORM_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Shortest interval between reads of the instance list.
const MIN_LIST_INTERVAL_MS: u64 = 2_000;
/// Lower bound of the read interval per known member. It limits the reads of
/// the whole fleet to 100 per second, because the request rate that the platform
/// serves does not grow with the fleet.
const LIST_INTERVAL_PER_MEMBER_MS: u64 = 10;
/// Interval between reads of the instance list while no other member is known.
const LIST_INTERVAL_WITHOUT_PEERS: Duration = Duration::from_millis(500);

impl ControlState {
    fn is_watcher(&self) -> bool {
        let live = self.view.live_routers();
        span_member::task_rank(ACCEPTED_CONFIG_KEY, &live, &self.settings.router) < CONFIG_WATCHERS
    }

    fn instance_row(&self, leaving: bool) -> Instance {
        let router = &self.settings.router;
        Instance {
            name: router.member.instance.clone(),
            http_address: router.http_address,
            peer_address: router.peer_address,
            failure_domain: router.failure_domain.clone(),
            leaving,
        }
    }

    fn list_interval(&self) -> Duration {
        let others = self.view.live_routers().len() as u64 - 1;
        if others == 0 {
            return LIST_INTERVAL_WITHOUT_PEERS;
        }
        Duration::from_millis(MIN_LIST_INTERVAL_MS.max(LIST_INTERVAL_PER_MEMBER_MS * others))
    }
}

/// Starts the tasks that call the platform. Without a platform, peers are the
/// only source of the configuration.
pub(super) fn start(shared: &SharedState) {
    let Some(address) = shared.borrow().settings.platform_address else {
        return;
    };
    let platform = PlatformClient::new(PlatformSettings::new(address));
    tokio::task::spawn_local(watch(shared.clone(), platform.clone()));
    tokio::task::spawn_local(register(shared.clone(), platform.clone()));
    tokio::task::spawn_local(poll_instance_list(shared.clone(), platform));
}

/// Watches the accepted configuration while this router is one of the watchers.
async fn watch(shared: SharedState, platform: PlatformClient) {
    loop {
        if !shared.borrow().is_watcher() {
            tokio::time::sleep(WATCHER_CHECK_INTERVAL).await;
            continue;
        }
        let after = shared.borrow().config.revision().0;
        match platform.watch(ACCEPTED_CONFIG_KEY, after).poll_once().await {
            Ok(Some(object)) => apply_stored_config(&shared, object.version, &object.value),
            Ok(None) => {}
            Err(error) => {
                tracing::debug!(%error, "cannot watch the configuration; retrying");
                tokio::time::sleep(PLATFORM_RETRY_DELAY).await;
            }
        }
    }
}

fn apply_stored_config(shared: &SharedState, version: u64, value: &[u8]) {
    match AcceptedConfig::decode(version, value) {
        Ok(current) => apply_config(shared, current.revision, Arc::new(current.stored.document)),
        Err(error) => tracing::error!(version, %error, "the stored configuration is not used"),
    }
}

fn apply_config(shared: &SharedState, revision: Revision, document: Arc<span_config::Document>) {
    let mut control = shared.borrow_mut();
    if control.config.apply(revision, document) {
        control.apply_new_config();
    }
}

/// Registers this router in the instance list; retries until it succeeds.
async fn register(shared: SharedState, platform: PlatformClient) {
    let row = shared.borrow().instance_row(false);
    while let Err(error) = platform.register(&row).await {
        tracing::debug!(%error, "cannot register the instance; retrying");
        tokio::time::sleep(PLATFORM_RETRY_DELAY).await;
    }
}

/// Marks this router as leaving in the instance list; retries until it
/// succeeds. Peers learn it from heartbeats, so an outage of the platform only
/// delays readers of the list.
pub(super) async fn mark_leaving(shared: SharedState) {
    let Some(address) = shared.borrow().settings.platform_address else {
        return;
    };
    let platform = PlatformClient::new(PlatformSettings::new(address));
    let row = shared.borrow().instance_row(true);
    while let Err(error) = platform.mark_leaving(&row).await {
        tracing::debug!(%error, "cannot mark the instance as leaving; retrying");
        tokio::time::sleep(PLATFORM_RETRY_DELAY).await;
    }
}

/// Reads the instance list periodically.
async fn poll_instance_list(shared: SharedState, platform: PlatformClient) {
    loop {
        match platform.instances().await {
            Ok(instances) => apply_instance_list(&shared, instances),
            Err(error) => tracing::debug!(%error, "cannot read the instance list; retrying"),
        }
        let interval = shared.borrow().list_interval();
        tokio::time::sleep(interval).await;
    }
}

fn apply_instance_list(shared: &SharedState, instances: Vec<Instance>) {
    let listed = instances.into_iter().map(|row| ListedInstance {
        leaving: row.leaving,
        router: Router {
            member: Member { instance: row.name, incarnation: Incarnation(0) },
            http_address: row.http_address,
            peer_address: row.peer_address,
            failure_domain: row.failure_domain,
            processor_millicores: 0,
        },
    });
    let mut control = shared.borrow_mut();
    control.view.set_listed_instances(listed.collect());
    control.update_membership();
}

/// Fetches the configuration from a peer whose heartbeat showed a newer
/// revision. Does nothing while another fetch is running.
pub(super) fn fetch_config_from(shared: &SharedState, peer: InstanceName) {
    if std::mem::replace(&mut shared.borrow_mut().fetching_config, true) {
        return;
    }
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        fetch(&shared, &peer).await;
        shared.borrow_mut().fetching_config = false;
    });
}

async fn fetch(shared: &SharedState, peer: &InstanceName) {
    let since = shared.borrow().config.revision();
    if fetch_since(shared, peer, since).await {
        return;
    }
    // The delta did not apply to the local document, so request the complete
    // one.
    fetch_since(shared, peer, Revision(0)).await;
}

/// Returns false if the reply could not be applied.
async fn fetch_since(shared: &SharedState, peer: &InstanceName, since: Revision) -> bool {
    let address = shared.borrow().view.router(peer).map(|router| router.peer_address);
    let Some(address) = address else {
        return true;
    };
    let answer = peers::call(shared, peer, address, |client| async move {
        let mut request = client.fetch_config_request();
        request.get().set_since(since.0);
        let answer = request.send().promise.await?;
        Ok(read_config(answer.get()?.get_config()?)?)
    });
    match answer.await {
        Ok(reply) => apply_peer_config(shared, peer, &reply),
        Err(error) => {
            heartbeat::record_call_failure(shared, peer, &error);
            true
        }
    }
}

fn apply_peer_config(shared: &SharedState, peer: &InstanceName, reply: &ConfigReply) -> bool {
    let mut control = shared.borrow_mut();
    match control.config.apply_reply(reply) {
        Ok(true) => {
            control.apply_new_config();
            true
        }
        Ok(false) => true,
        Err(error) => {
            tracing::warn!(%peer, %error, "cannot apply the configuration of a peer");
            false
        }
    }
}
