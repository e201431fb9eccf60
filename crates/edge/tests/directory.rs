//! Tests of which routers the directory lists.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use span_edge::{
    directory::{ConfigReports, choose_routers},
    peers::{MAX_UPDATES_PER_HEARTBEAT, VIEW_COMPARISON_ROUNDS},
};
use span_member::{MembershipTiming, MembershipView, Router};
use span_types::{FailureDomain, Incarnation, InstanceName, Member};

fn routers(groups: &[(usize, u32)]) -> Vec<Router> {
    let millicores =
        groups.iter().flat_map(|(count, millicores)| std::iter::repeat_n(*millicores, *count));
    let address = "127.0.0.1:1".parse().expect("address");
    millicores
        .enumerate()
        .map(|(index, processor_millicores)| Router {
            member: Member {
                instance: format!("router-{index}").into(),
                incarnation: Incarnation(1),
            },
            http_address: address,
            peer_address: address,
            failure_domain: "domain".into(),
            processor_millicores,
        })
        .collect()
}

/// All callers of a workspace used one router with 0.12 of a core. Most of their
/// requests failed, while routers with half a core were idle (scenario scale-2 of
/// cordillera-rosemary-grown, seed 295355987593).
#[test]
fn strongest_routers_are_listed_until_they_suffice() {
    struct Case {
        name: &'static str,
        /// Number of routers, and thousandths of a core of each.
        groups: &'static [(usize, u32)],
        /// The same for the listed routers.
        chosen: &'static [(usize, u32)],
    }
    let cases = [
        Case { name: "all equal", groups: &[(6, 250)], chosen: &[(6, 250)] },
        Case {
            name: "enough strong routers",
            groups: &[(72, 120), (10, 500)],
            chosen: &[(10, 500)],
        },
        Case {
            name: "two strengths above half of the strongest",
            groups: &[(5, 400), (5, 500), (5, 120)],
            chosen: &[(5, 500), (5, 400)],
        },
        Case {
            name: "too few strong routers",
            groups: &[(1, 500), (20, 100)],
            chosen: &[(1, 500), (3, 100)],
        },
        Case {
            name: "strong routers have too little of the fleet's processors",
            groups: &[(4, 500), (100, 100)],
            chosen: &[(4, 500), (10, 100)],
        },
        Case {
            name: "some do not state their processor",
            groups: &[(3, 0), (6, 250)],
            chosen: &[(3, 0), (6, 250)],
        },
        Case { name: "none states its processor", groups: &[(6, 0)], chosen: &[(6, 0)] },
        Case { name: "more than an answer may list", groups: &[(80, 250)], chosen: &[(64, 250)] },
        Case { name: "no router", groups: &[], chosen: &[] },
    ];
    for case in cases {
        let all = routers(case.groups);
        let chosen = choose_routers(all.iter().collect(), None);
        let chosen: Vec<u32> = chosen.iter().map(|router| router.processor_millicores).collect();
        let expected: Vec<u32> =
            routers(case.chosen).iter().map(|router| router.processor_millicores).collect();
        assert_eq!(chosen, expected, "{}", case.name);
    }
}

/// Routers of three failure domains, named in the order of the domains.
fn routers_in_domains(per_domain: usize, processor_millicores: u32) -> Vec<Router> {
    let mut all = routers(&[(3 * per_domain, processor_millicores)]);
    for (index, router) in all.iter_mut().enumerate() {
        router.failure_domain = format!("domain-{}", index / per_domain).into();
        router.member.instance = format!("router-{index:02}").into();
    }
    all
}

/// Weaker routers were listed in the order of their names, which begin with the
/// failure domain: all callers were sent to one domain (scenario quiet-1 of
/// kba-windhoek-grown).
#[test]
fn equally_strong_routers_are_taken_from_all_domains() {
    struct Case {
        name: &'static str,
        caller_domain: Option<&'static str>,
        /// Weak routers that are listed, by domain.
        chosen: [usize; 3],
    }
    let cases = [
        Case { name: "caller of no known domain", caller_domain: None, chosen: [2, 1, 1] },
        Case { name: "caller of the last", caller_domain: Some("domain-2"), chosen: [1, 1, 2] },
        Case { name: "unknown domain", caller_domain: Some("elsewhere"), chosen: [2, 1, 1] },
    ];
    let mut all = routers_in_domains(10, 100);
    // One strong router; weak ones fill up to a quarter of the processors.
    all[0].processor_millicores = 500;
    for case in cases {
        let caller_domain = case.caller_domain.map(FailureDomain::from);
        let chosen = choose_routers(all.iter().collect(), caller_domain.as_ref());
        let weak = chosen.iter().filter(|router| router.processor_millicores == 100);
        let mut counts = [0; 3];
        for router in weak {
            let domain = router.failure_domain.as_str().trim_start_matches("domain-");
            counts[domain.parse::<usize>().expect("domain")] += 1;
        }
        assert_eq!(counts, case.chosen, "{}", case.name);
    }
}

/// One router of the simulated fleet.
struct SimulatedRouter {
    view: MembershipView,
    config_reports: ConfigReports,
    next_heartbeat_ms: u64,
    /// Number of heartbeat rounds so far.
    round: u64,
    /// When it has read its configuration.
    config_read_ms: u64,
}

const HEARTBEAT_PERIOD_MS: u64 = 400;
const TIMING: MembershipTiming =
    MembershipTiming { suspect_after_ms: 1_300, remove_after_ms: 2_600, forget_after_ms: 60_000 };

/// A fleet whose routers exchange heartbeats on virtual time.
struct Fleet {
    routers: BTreeMap<InstanceName, SimulatedRouter>,
    seeds: Vec<InstanceName>,
    rng: SmallRng,
    /// Fraction of the heartbeats that are lost.
    loss: f64,
}

impl Fleet {
    /// Routers that start within a second. The first of them are strong, and the
    /// ones that each starting router contacts.
    fn start(count: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let all = routers(&[(count / 10, 500), (count - count / 10, 120)]);
        let seeds = all.iter().take(3).map(|router| router.member.instance.clone()).collect();
        let started = all.into_iter().map(|router| {
            let started_ms = rng.random_range(0..1_000);
            let config_read_ms = started_ms + rng.random_range(50..1_200);
            let name = router.member.instance.clone();
            let view = MembershipView::new(router, TIMING);
            let config_reports = ConfigReports::default();
            let next_heartbeat_ms = started_ms;
            (
                name,
                SimulatedRouter {
                    view,
                    config_reports,
                    next_heartbeat_ms,
                    round: 0,
                    config_read_ms,
                },
            )
        });
        let routers = started.collect();
        Self { routers, seeds, rng, loss: 0.0 }
    }

    /// Delivers a heartbeat with updates in circulation, or with all, unless it is lost.
    fn deliver(&mut self, now_ms: u64, from: &InstanceName, to: &InstanceName, all: bool) {
        if self.rng.random_bool(self.loss) {
            return;
        }
        let Some(sender) = self.routers.get_mut(from) else { return };
        let own_update = sender.view.own_update().clone();
        let updates = if all {
            sender.view.all_updates()
        } else {
            sender.view.next_updates(to, MAX_UPDATES_PER_HEARTBEAT)
        };
        let version = u64::from(now_ms >= sender.config_read_ms);
        let Some(receiver) = self.routers.get_mut(to) else { return };
        receiver.config_reports.record(now_ms, &own_update.router.member, version);
        receiver.view.apply_direct_update(now_ms, own_update);
        for update in updates {
            receiver.view.apply_relayed_update(now_ms, update);
        }
    }

    fn send_heartbeats(&mut self, now_ms: u64, me: &InstanceName) {
        let Some(own) = self.routers.get_mut(me) else { return };
        let live = own.view.live_routers();
        let is_alone = live.len() == 1;
        let plan = own.view.heartbeat_plan();
        let (mut to, monitored) = (plan.targets, plan.expected);
        if is_alone {
            to.extend(self.seeds.iter().filter(|seed| *seed != me).cloned());
        }
        own.view.check_timeouts(now_ms, &monitored);
        let nearly_suspect = own.view.nearly_suspect(now_ms);
        to.extend(nearly_suspect.into_iter().filter(|name| !to.contains(name)).collect::<Vec<_>>());
        own.round += 1;
        let compares = own.round.is_multiple_of(VIEW_COMPARISON_ROUNDS);
        let compared = self.rng.random_range(0..to.len().max(1));
        for (index, other) in to.into_iter().enumerate() {
            self.deliver(now_ms, me, &other, false);
            let compares = is_alone || (compares && index == compared);
            let Some(answering) = self.routers.get(&other) else { continue };
            let views_differ =
                compares && self.routers[me].view.view_hash() != answering.view.view_hash();
            self.deliver(now_ms, &other, me, views_differ);
        }
    }

    fn run(&mut self, until_ms: u64) {
        self.run_from(0, until_ms);
    }

    fn run_from(&mut self, from_ms: u64, until_ms: u64) {
        for now_ms in (from_ms..until_ms).step_by(20) {
            let due = self.routers.iter().filter(|(_, router)| router.next_heartbeat_ms <= now_ms);
            let due: Vec<InstanceName> = due.map(|(name, _)| name.clone()).collect();
            for name in due {
                self.send_heartbeats(now_ms, &name);
                if let Some(router) = self.routers.get_mut(&name) {
                    router.next_heartbeat_ms = now_ms + HEARTBEAT_PERIOD_MS;
                }
            }
        }
    }

    /// Names that the directory of each router lists.
    fn lists(&self, now_ms: u64) -> BTreeSet<Vec<InstanceName>> {
        let list = |own: &SimulatedRouter| {
            let own_member = &own.view.own_update().router.member;
            let mut usable = own.view.routers_for_callers();
            usable.retain(|router| {
                let changed_ms = own.view.last_changed_ms(&router.member.instance);
                router.member == *own_member
                    || own.config_reports.has_config(now_ms, &router.member, changed_ms)
            });
            let chosen = choose_routers(usable, None).into_iter();
            chosen.map(|router| router.member.instance.clone()).collect()
        };
        self.routers.values().map(list).collect()
    }
}

/// A router that sent its only heartbeat before it had a configuration was left out
/// of the directory for good: at 72 routers, 23 to 71 counted as usable, and the
/// strong ones, which starting routers contact first, were missing (scenario quiet-1
/// of kba-windhoek-grown).
#[test]
fn all_directories_list_the_same_routers_after_a_start() {
    /// Time after the start by which the lists must be equal, in milliseconds.
    const SETTLED_MS: u64 = 8_000;
    for (count, seed) in [(6, 1), (72, 2), (200, 3)] {
        let mut fleet = Fleet::start(count, seed);
        fleet.run(SETTLED_MS);
        let lists = fleet.lists(SETTLED_MS);
        let strong = (count / 10).max(4);
        assert_eq!(lists.len(), 1, "{count} routers: different lists");
        let list = lists.first().expect("one list");
        assert!(list.len() >= strong, "{count} routers: only {} listed", list.len());
        for index in 0..count / 10 {
            let name: InstanceName = format!("router-{index}").into();
            assert!(list.contains(&name), "{count} routers: {name} is missing");
        }
    }
}

/// Load: fleets of 59 to 85 routers of three failure domains, of which some are killed at
/// the same moment, the seeds and collectors among them, while some heartbeats are lost.
/// Guards against a directory that still names one of them 7 s later, when callers must not
/// be sent there any more, and against one that names too few of the others.
#[test]
fn killed_routers_leave_all_directories_of_large_fleets_in_time() {
    struct Case {
        name: &'static str,
        loss: f64,
        /// Whether the router of this number, of so many, is killed.
        is_killed: fn(usize, &mut SmallRng) -> bool,
    }
    /// When the routers are killed, in milliseconds.
    const KILLED_MS: u64 = 10_000;
    /// Time after which the directory must not name them, in milliseconds: the 4 s of
    /// contact that the users' rules ask for, and 3 s.
    const MAX_LISTED_MS: u64 = 7_000;
    let cases = [
        Case { name: "one", loss: 0.0, is_killed: |index, _| index == 40 },
        Case { name: "one with losses", loss: 0.05, is_killed: |index, _| index == 40 },
        Case { name: "the strong ones", loss: 0.0, is_killed: |index, _| index < 6 },
        Case { name: "a failure domain", loss: 0.025, is_killed: |index, _| index % 3 == 0 },
        Case { name: "over half", loss: 0.025, is_killed: |_, rng| rng.random_bool(0.55) },
        Case { name: "four fifths", loss: 0.0, is_killed: |_, rng| rng.random_bool(0.8) },
    ];
    for (count, seed, cases) in [(59, 1, &cases[..2]), (72, 2, &cases[2..4]), (85, 4, &cases[4..])]
    {
        for Case { name, loss, is_killed } in cases {
            let mut fleet = Fleet::start(count, seed);
            for (index, router) in fleet.routers.values_mut().enumerate() {
                let mut own = router.view.own_update().router.clone();
                own.failure_domain = format!("domain-{}", index % 3).into();
                router.view = MembershipView::new(own, TIMING);
            }
            fleet.loss = *loss;
            fleet.run(KILLED_MS);
            let mut rng = SmallRng::seed_from_u64(seed);
            let killed: Vec<InstanceName> = (0..count)
                .filter(|index| is_killed(*index, &mut rng))
                .map(|index| format!("router-{index}").into())
                .collect();
            for router in &killed {
                fleet.routers.remove(router);
            }
            fleet.run_from(KILLED_MS, KILLED_MS + MAX_LISTED_MS);
            for list in fleet.lists(KILLED_MS + MAX_LISTED_MS) {
                let named: Vec<_> = killed.iter().filter(|router| list.contains(router)).collect();
                assert!(named.is_empty(), "{count} routers, {name}: still listed: {named:?}");
                let least = fleet.routers.len().min(4);
                assert!(list.len() >= least, "{count} routers, {name}: only {}", list.len());
            }
        }
    }
}
