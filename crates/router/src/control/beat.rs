//! Heartbeats.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use span_types::{InstanceName, MemberState};
use span_wire::{Heartbeat, read_heartbeat, write_heartbeat};

use super::{
    Counter,
    core::{Core, Shared},
    follow,
    peers::{self, PeerError},
};

/// Time between heartbeats. Two fit into the time after which a silent member
/// is suspect.
pub(super) const INTERVAL: Duration = Duration::from_millis(600);
/// Heartbeats to a peer that are skipped in a row while other messages show
/// that both sides live. The next one is sent anyway, since heartbeats also
/// carry the revision and compare the views.
const MAX_SKIPPED: u32 = 2;
/// Shortest time between heartbeats that carry news.
const NEWS_INTERVAL_MS: u64 = 100;
/// Updates on one heartbeat.
const MAX_UPDATES: usize = 16;
/// Heartbeats in a row with differing views after which all statements are
/// asked for; single updates were lost then.
const DISAGREEMENTS: u32 = 5;
/// Listed instances without a connection that are tried per interval.
const MAX_STRANGERS: usize = 4;
/// Time between attempts at the same one.
const STRANGER_RETRY_MS: u64 = 3_000;

impl Core {
    /// Makes a heartbeat to `peer`.
    pub fn make_beat(&mut self, peer: &InstanceName, all: bool, wants_all: bool) -> Heartbeat {
        let updates =
            if all { self.view.all_updates() } else { self.view.next_updates(peer, MAX_UPDATES) };
        Heartbeat {
            sender: self.view.own_update().clone(),
            revision: self.config.revision(),
            view_hash: self.view.view_hash(),
            updates,
            wants_all,
        }
    }

    /// Takes a heartbeat. Returns whether the sender has a newer configuration.
    pub fn take_beat(&mut self, beat: Heartbeat) -> bool {
        let now_ms = self.now_ms();
        let sender = beat.sender.router.member.instance.clone();
        let mut changes: Vec<_> =
            self.view.apply_direct_update(now_ms, beat.sender).into_iter().collect();
        for update in beat.updates {
            changes.extend(self.view.apply_relayed_update(now_ms, update));
        }
        self.follow_changes(changes);
        self.note_view(&sender, beat.view_hash);
        if self.view.state(&sender).is_some_and(|state| state < MemberState::Dead) {
            self.revisions.insert(sender, beat.revision);
        }
        beat.revision > self.config.revision()
    }

    fn note_view(&mut self, sender: &InstanceName, view_hash: u64) {
        if view_hash == self.view.view_hash() {
            self.disagreements.remove(sender);
        } else {
            *self.disagreements.entry(sender.clone()).or_default() += 1;
        }
    }

    /// Whether all statements of a peer are wanted, and not asked for yet.
    fn wants_all(&mut self, peer: &InstanceName) -> bool {
        let stranger = self.view.state(peer).is_none_or(|state| state == MemberState::Dead);
        let disagrees = self.disagreements.get(peer).is_some_and(|count| *count >= DISAGREEMENTS);
        if disagrees {
            self.disagreements.remove(peer);
        }
        stranger || disagrees
    }

    fn targets(&self) -> Vec<(InstanceName, SocketAddr)> {
        let live = self.view.live_routers();
        let targets = span_member::heartbeat_targets(self.instance(), &live);
        let routers = targets.iter().filter_map(|target| self.view.router(target));
        routers.map(|router| (router.member.instance.clone(), router.peer_address)).collect()
    }

    /// Whether a regular heartbeat to `peer` can be left out: an exchange within
    /// the last interval told each side that the other one lives, and there is
    /// nothing to pass on.
    fn skips(&mut self, now_ms: u64, peer: &InstanceName) -> bool {
        let since_ms = now_ms.saturating_sub(INTERVAL.as_millis() as u64);
        let heard = self.view.has_heard_since(peer, since_ms);
        let agrees = !self.disagreements.contains_key(peer)
            && self.view.state(peer) == Some(MemberState::Alive);
        let skipped = self.skipped_beats.entry(peer.clone()).or_default();
        if heard && agrees && !self.view.has_pending_updates() && *skipped < MAX_SKIPPED {
            *skipped += 1;
            return true;
        }
        *skipped = 0;
        false
    }

    fn strangers(&self) -> Vec<(InstanceName, SocketAddr)> {
        let strangers = self.view.unjoined_instances().into_iter();
        strangers.map(|router| (router.member.instance.clone(), router.peer_address)).collect()
    }
}

/// Sends heartbeats until the thread ends.
pub(super) async fn run(shared: Shared) {
    let mut tried: HashMap<InstanceName, u64> = HashMap::new();
    let mut last_ms = 0;
    let mut due_ms = 0;
    loop {
        let now_ms = shared.borrow().now_ms();
        let news = shared.borrow().has_news && now_ms >= last_ms + NEWS_INTERVAL_MS;
        if now_ms >= due_ms || news {
            last_ms = now_ms;
            shared.borrow_mut().has_news = false;
            send_to_targets(&shared, now_ms, news);
        }
        if now_ms >= due_ms {
            due_ms = now_ms + INTERVAL.as_millis() as u64;
            contact_strangers(&shared, &mut tried, now_ms);
            judge(&shared);
        }
        tokio::time::sleep(Duration::from_millis(NEWS_INTERVAL_MS / 2)).await;
    }
}

fn send_to_targets(shared: &Shared, now_ms: u64, news: bool) {
    let targets = shared.borrow().targets();
    for (instance, address) in targets {
        if !news && shared.borrow_mut().skips(now_ms, &instance) {
            continue;
        }
        tokio::task::spawn_local(send(shared.clone(), instance, address));
    }
}

fn contact_strangers(shared: &Shared, tried: &mut HashMap<InstanceName, u64>, now_ms: u64) {
    let strangers = shared.borrow().strangers();
    tried.retain(|name, _| strangers.iter().any(|(stranger, _)| stranger == name));
    let rested = |name: &InstanceName| {
        tried.get(name).is_none_or(|tried_ms| now_ms >= tried_ms + STRANGER_RETRY_MS)
    };
    let mut due: Vec<_> = strangers.into_iter().filter(|(name, _)| rested(name)).collect();
    due.sort_by_key(|(name, _)| tried.get(name).copied());
    for (instance, address) in due.into_iter().take(MAX_STRANGERS) {
        tried.insert(instance.clone(), now_ms);
        tokio::task::spawn_local(send(shared.clone(), instance, address));
    }
}

/// Suspects and removes members that have been silent for too long.
fn judge(shared: &Shared) {
    let mut core = shared.borrow_mut();
    let now_ms = core.now_ms();
    let monitored = std::mem::take(&mut core.monitored);
    let changes = core.view.check_timeouts(now_ms, &monitored);
    core.monitored = monitored;
    core.follow_changes(changes);
}

/// Sends one heartbeat and takes the answer.
pub(super) async fn send(shared: Shared, instance: InstanceName, address: SocketAddr) {
    let beat = {
        let mut core = shared.borrow_mut();
        let wants_all = core.wants_all(&instance);
        core.counters.increment(Counter::Heartbeats);
        core.make_beat(&instance, wants_all, wants_all)
    };
    let answer = peers::call(&shared, &instance, address, |client| async move {
        let mut request = client.heartbeat_request();
        write_heartbeat(request.get().init_beat(), &beat);
        let answer = request.send().promise.await?;
        Ok(read_heartbeat(answer.get()?.get_beat()?)?)
    });
    match answer.await {
        Ok(answer) => {
            let behind = shared.borrow_mut().take_beat(answer);
            if behind {
                follow::fetch_from(&shared, instance);
            }
        }
        Err(error) => note_failure(&shared, &instance, &error),
    }
}

/// Counts refused connections, which tell that a process is gone.
pub(super) fn note_failure(shared: &Shared, instance: &InstanceName, error: &PeerError) {
    tracing::debug!(%instance, %error, "call to a router failed");
    if matches!(error, PeerError::Refused) {
        let mut core = shared.borrow_mut();
        let now_ms = core.now_ms();
        let change = core.view.record_refused_connection(now_ms, instance);
        core.follow_changes(change);
    }
}
