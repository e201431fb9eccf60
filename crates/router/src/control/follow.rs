//! Follows the configuration and the instance list.

use std::{sync::Arc, time::Duration};

use span_config::{CURRENT_KEY, Current};
use span_member::{ListedInstance, Router};
use span_platform::{Instance, Platform, Settings as PlatformSettings};
use span_types::{Incarnation, InstanceName, Member, Revision};
use span_wire::{ConfigReply, read_config};

use super::{
    beat,
    core::{Core, Shared},
    peers,
};

/// Routers that watch the platform for a new configuration.
const WATCHERS: usize = 2;
/// Time between checks whether this router is to watch.
const ROLE_CHECK: Duration = Duration::from_millis(500);
/// Wait after a failed call to the platform.
const RETRY: Duration = Duration::from_millis(500);
/// Shortest time between readings of the instance list.
const LIST_INTERVAL_MS: u64 = 2_000;
/// Addition per known member. The fleet's readings stay at 100 per second,
/// because the platform's rates do not grow with it.
const LIST_PER_MEMBER_MS: u64 = 10;
/// Same before any other member is known.
const LIST_ALONE: Duration = Duration::from_millis(500);

impl Core {
    fn is_watcher(&self) -> bool {
        let live = self.view.live_routers();
        span_member::task_rank(CURRENT_KEY, &live, &self.settings.router) < WATCHERS
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
            return LIST_ALONE;
        }
        Duration::from_millis(LIST_INTERVAL_MS.max(LIST_PER_MEMBER_MS * others))
    }
}

/// Starts following the platform. Without one, peers are the only source.
pub(super) fn start(shared: &Shared) {
    let Some(address) = shared.borrow().settings.platform_address else {
        return;
    };
    let platform = Platform::new(PlatformSettings::new(address));
    tokio::task::spawn_local(watch(shared.clone(), platform.clone()));
    tokio::task::spawn_local(register(shared.clone(), platform.clone()));
    tokio::task::spawn_local(list(shared.clone(), platform));
}

/// Watches the accepted document while this router is one of the watchers.
async fn watch(shared: Shared, platform: Platform) {
    loop {
        if !shared.borrow().is_watcher() {
            tokio::time::sleep(ROLE_CHECK).await;
            continue;
        }
        let after = shared.borrow().config.revision().0;
        match platform.watch(CURRENT_KEY, after).step().await {
            Ok(Some(object)) => take_object(&shared, object.version, &object.value),
            Ok(None) => {}
            Err(error) => {
                tracing::debug!(%error, "the configuration cannot be read");
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}

fn take_object(shared: &Shared, version: u64, value: &[u8]) {
    match Current::decode(version, value) {
        Ok(current) => apply(shared, current.revision, Arc::new(current.stored.document)),
        Err(error) => tracing::error!(version, %error, "the stored configuration is not used"),
    }
}

fn apply(shared: &Shared, revision: Revision, document: Arc<span_config::Document>) {
    let mut core = shared.borrow_mut();
    if core.config.apply(revision, document) {
        core.follow_config();
    }
}

/// Enters this router into the instance list.
async fn register(shared: Shared, platform: Platform) {
    let row = shared.borrow().instance_row(false);
    while let Err(error) = platform.register(&row).await {
        tracing::debug!(%error, "the instance cannot be registered");
        tokio::time::sleep(RETRY).await;
    }
}

/// Marks this router as leaving in the instance list. Peers are told by
/// heartbeats, so a platform that is down only delays those that ask it.
pub(super) async fn mark_leaving(shared: Shared) {
    let Some(address) = shared.borrow().settings.platform_address else {
        return;
    };
    let platform = Platform::new(PlatformSettings::new(address));
    let row = shared.borrow().instance_row(true);
    while let Err(error) = platform.mark_leaving(&row).await {
        tracing::debug!(%error, "the instance cannot be marked as leaving");
        tokio::time::sleep(RETRY).await;
    }
}

/// Reads the instance list.
async fn list(shared: Shared, platform: Platform) {
    loop {
        match platform.instances().await {
            Ok(instances) => take_list(&shared, instances),
            Err(error) => tracing::debug!(%error, "the instance list cannot be read"),
        }
        let interval = shared.borrow().list_interval();
        tokio::time::sleep(interval).await;
    }
}

fn take_list(shared: &Shared, instances: Vec<Instance>) {
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
    let mut core = shared.borrow_mut();
    core.view.set_listed_instances(listed.collect());
    core.follow_view();
}

/// Fetches the configuration from a peer that said to have a newer one.
pub(super) fn fetch_from(shared: &Shared, peer: InstanceName) {
    if std::mem::replace(&mut shared.borrow_mut().fetching, true) {
        return;
    }
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        fetch(&shared, &peer).await;
        shared.borrow_mut().fetching = false;
    });
}

async fn fetch(shared: &Shared, peer: &InstanceName) {
    let since = shared.borrow().config.revision();
    if fetch_since(shared, peer, since).await {
        return;
    }
    // The delta did not fit the document here; the whole one does.
    fetch_since(shared, peer, Revision(0)).await;
}

/// Returns false if the answer could not be applied.
async fn fetch_since(shared: &Shared, peer: &InstanceName, since: Revision) -> bool {
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
        Ok(reply) => take_reply(shared, peer, &reply),
        Err(error) => {
            beat::note_failure(shared, peer, &error);
            true
        }
    }
}

fn take_reply(shared: &Shared, peer: &InstanceName, reply: &ConfigReply) -> bool {
    let mut core = shared.borrow_mut();
    match core.config.take(reply) {
        Ok(true) => {
            core.follow_config();
            true
        }
        Ok(false) => true,
        Err(error) => {
            tracing::warn!(%peer, %error, "the configuration of a router cannot be used");
            false
        }
    }
}
