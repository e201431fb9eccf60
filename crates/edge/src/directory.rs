//! The directory: which routers callers are told to use.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
};

use span_member::Router;
use span_types::{FailureDomain, Member};

/// Time after which a router that reported no configuration, or whose state
/// changed without a report, is assumed to have read one, in milliseconds. In a
/// large fleet most routers send no second heartbeat to this one.
const ASSUMED_CONFIG_READ_MS: u64 = 2_000;

/// Fraction of the strongest router's processor from which a router is always
/// listed, as far as the answer has room.
const STRONG_ROUTER_PROCESSOR_FRACTION: f64 = 0.5;
/// Fraction of the fleet's processors that the listed routers must have
/// together. Requests used under a tenth of the processors of 82 routers; the
/// rest is for bursts.
const MIN_LISTED_PROCESSOR_FRACTION: f64 = 0.25;
/// Routers that are listed at least, if there are as many: a caller whose router
/// fails needs others.
const MIN_LISTED_ROUTERS: usize = 4;
/// Routers that are listed at most; callers read no more.
const MAX_LISTED_ROUTERS: usize = 64;

/// Configuration version that a router reported, and when.
#[derive(Clone, Copy, Debug)]
struct ConfigReport {
    version: u64,
    at_ms: u64,
}

/// Configuration versions that other routers reported.
#[derive(Clone, Debug, Default)]
pub struct ConfigReports {
    by_member: BTreeMap<Member, ConfigReport>,
}

impl ConfigReports {
    /// Records the version that a router reported; 0 if it has none. Reports of
    /// earlier processes of the instance are dropped.
    pub fn record(&mut self, now_ms: u64, member: &Member, version: u64) {
        self.by_member.retain(|other, _| other.instance != member.instance || other == member);
        self.by_member.insert(member.clone(), ConfigReport { version, at_ms: now_ms });
    }

    /// Version that a router reported last; 0 if it reported none.
    pub fn version(&self, member: &Member) -> u64 {
        self.by_member.get(member).map_or(0, |report| report.version)
    }

    /// Whether a router has a configuration, as far as its last report and its
    /// last change of state, at `changed_ms`, tell.
    pub fn has_config(&self, now_ms: u64, member: &Member, changed_ms: Option<u64>) -> bool {
        let report = self.by_member.get(member);
        if report.is_some_and(|report| report.version > 0) {
            return true;
        }
        let since_ms = report.map(|report| report.at_ms).max(changed_ms);
        since_ms.is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= ASSUMED_CONFIG_READ_MS)
    }
}

/// Chooses the routers that callers are told to use from those that accept
/// callers.
///
/// Some callers send all their requests to one address. A router with an eighth
/// of a core cannot carry the largest of these callers, but one with half a core
/// can. And the fewer routers send to the upstreams, the better each knows their
/// load. So the strongest routers come first; weaker ones follow only while too
/// few are listed or their fraction of the fleet's processors is too small. A
/// router that does not state its processor counts as the strongest.
///
/// Equally strong routers are taken from all failure domains in turn, beginning
/// with the caller's.
pub fn choose_routers<'a>(
    usable: Vec<&'a Router>,
    caller_domain: Option<&FailureDomain>,
) -> Vec<&'a Router> {
    let strongest = usable.iter().map(|router| router.processor_millicores).max().unwrap_or(0);
    let millicores = |router: &Router| match router.processor_millicores {
        0 => f64::from(strongest.max(1)),
        stated => f64::from(stated),
    };
    let usable = in_turn_by_domain(usable, caller_domain, |router| millicores(router) as u64);
    let min_strong = f64::from(strongest) * STRONG_ROUTER_PROCESSOR_FRACTION;
    let min_total =
        usable.iter().map(|router| millicores(router)).sum::<f64>() * MIN_LISTED_PROCESSOR_FRACTION;
    let mut chosen: Vec<&Router> = Vec::new();
    let mut chosen_millicores = 0.0;
    for router in usable {
        let is_needed = chosen.len() < MIN_LISTED_ROUTERS || chosen_millicores < min_total;
        if chosen.len() == MAX_LISTED_ROUTERS || !(is_needed || millicores(router) >= min_strong) {
            break;
        }
        chosen_millicores += millicores(router);
        chosen.push(router);
    }
    chosen
}

/// Sorts routers by falling strength, and equally strong ones so that failure
/// domains take turns.
fn in_turn_by_domain<'a>(
    mut routers: Vec<&'a Router>,
    caller_domain: Option<&FailureDomain>,
    strength: impl Fn(&Router) -> u64,
) -> Vec<&'a Router> {
    routers.sort_by(|a, b| a.member.instance.cmp(&b.member.instance));
    let mut turns: HashMap<(u64, &FailureDomain), usize> = HashMap::new();
    let mut keyed: Vec<_> = routers
        .into_iter()
        .map(|router| {
            let strength = strength(router);
            let domain = &router.failure_domain;
            let next_turn = turns.entry((strength, domain)).or_default();
            let turn = *next_turn;
            *next_turn += 1;
            ((Reverse(strength), turn, Some(domain) != caller_domain, domain), router)
        })
        .collect();
    keyed.sort_by(|a, b| a.0.cmp(&b.0));
    keyed.into_iter().map(|(_, router)| router).collect()
}
