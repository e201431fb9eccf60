//! Convergence of membership views in a fleet whose heartbeats follow rings, on
//! virtual time.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use span_member::{
    MemberUpdate, MembershipTiming, MembershipView, Router, heartbeat_peers, heartbeat_targets,
};
use span_types::{Incarnation, InstanceName, Member, MemberState};

const HEARTBEAT_PERIOD_MS: u64 = 400;
const STEP_MS: u64 = 20;
const MAX_UPDATES_PER_HEARTBEAT: usize = 8;
const TIMING: MembershipTiming =
    MembershipTiming { suspect_after_ms: 1_300, remove_after_ms: 2_600, forget_after_ms: 60_000 };

fn router(index: usize) -> Router {
    let address = "127.0.0.1:1".parse().expect("address");
    Router {
        member: Member { instance: format!("router-{index}").into(), incarnation: Incarnation(1) },
        http_address: address,
        peer_address: address,
        failure_domain: format!("domain-{}", index % 5).into(),
        processor_millicores: 0,
    }
}

struct Fleet {
    views: BTreeMap<InstanceName, MembershipView>,
    /// Time of each router's next heartbeats.
    next_heartbeat_ms: BTreeMap<InstanceName, u64>,
    /// Number of state changes that the views reported.
    change_count: usize,
}

impl Fleet {
    fn new(count: usize, rng: &mut ChaCha8Rng) -> Self {
        let routers: Vec<Router> = (0..count).map(router).collect();
        let mut fleet =
            Self { views: BTreeMap::new(), next_heartbeat_ms: BTreeMap::new(), change_count: 0 };
        for me in &routers {
            let mut view = MembershipView::new(me.clone(), TIMING);
            for other in &routers {
                let state = MemberState::Alive;
                view.apply_direct_update(
                    0,
                    MemberUpdate { router: other.clone(), epoch: 0, state },
                );
            }
            let name = me.member.instance.clone();
            fleet.next_heartbeat_ms.insert(name.clone(), rng.random_range(0..HEARTBEAT_PERIOD_MS));
            fleet.views.insert(name, view);
        }
        fleet
    }

    fn deliver_heartbeat(&mut self, now_ms: u64, from: &InstanceName, to: &InstanceName) {
        let Some(view) = self.views.get_mut(from) else { return };
        let (own_update, updates) =
            (view.own_update().clone(), view.next_updates(to, MAX_UPDATES_PER_HEARTBEAT));
        let Some(view) = self.views.get_mut(to) else { return };
        self.change_count += usize::from(view.apply_direct_update(now_ms, own_update).is_some());
        for update in updates {
            self.change_count += usize::from(view.apply_relayed_update(now_ms, update).is_some());
        }
    }

    fn send_heartbeats(&mut self, now_ms: u64, me: &InstanceName) {
        let Some(view) = self.views.get_mut(me) else { return };
        let live = view.live_routers();
        let monitored: Vec<InstanceName> = heartbeat_peers(me, &live).into_iter().collect();
        let mut to: BTreeSet<InstanceName> = heartbeat_targets(me, &live).into_iter().collect();
        self.change_count += view.check_timeouts(now_ms, &monitored).len();
        to.extend(view.nearly_suspect(now_ms));
        for other in to {
            self.deliver_heartbeat(now_ms, me, &other);
            self.deliver_heartbeat(now_ms, &other, me);
        }
    }

    fn run(&mut self, from_ms: u64, until_ms: u64) {
        for now_ms in (from_ms..until_ms).step_by(STEP_MS as usize) {
            let due: Vec<InstanceName> = self
                .next_heartbeat_ms
                .iter()
                .filter(|(_, at_ms)| **at_ms <= now_ms)
                .map(|(name, _)| name.clone())
                .collect();
            for name in due {
                self.send_heartbeats(now_ms, &name);
                self.next_heartbeat_ms.insert(name, now_ms + HEARTBEAT_PERIOD_MS);
            }
        }
    }
}

/// Guards against a false death that causes further suspicions without end. The
/// false death changed the rings of the routers that believed it. They expected
/// heartbeats from routers that sent them elsewhere, and suspected those too:
/// 33 changes per second at each of 97 routers (cordillera-rosemary-grown,
/// scale-2 --seed 295355987593).
#[test]
fn false_death_is_corrected() {
    for seed in 1..=2 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet::new(60, &mut rng);
        fleet.run(0, 3_000);
        let dead = MemberUpdate { router: router(7), epoch: 0, state: MemberState::Dead };
        for (name, view) in &mut fleet.views {
            if name.as_str() != "router-7" && rng.random_bool(0.6) {
                view.apply_relayed_update(3_000, dead.clone());
            }
        }
        fleet.run(3_000, 13_000);
        fleet.change_count = 0;
        fleet.run(13_000, 33_000);
        assert_eq!(
            fleet.change_count, 0,
            "seed {seed}: changes later than 10 s after the false update"
        );
        for (name, view) in &fleet.views {
            assert_eq!(view.live_routers().len(), 60, "seed {seed}: {name}");
        }
    }
}
