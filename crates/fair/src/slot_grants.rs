//! The slots of each upstream that each router may use.

use std::collections::{BTreeMap, HashMap};

use span_types::{Member, UpstreamName};

use crate::{ShardReport, SlotRow};

/// Slots of one upstream at one router.
#[derive(Clone, Copy, Debug, Default)]
struct UpstreamGrant {
    /// Slots in the router's next allocation.
    granted: u32,
    /// Upper bound on the slots that the router may use. It exceeds `granted`
    /// while the router has not confirmed a revocation.
    held: u32,
    in_flight: u32,
    /// Sequence number of the allocation with the latest revocation. A router
    /// that has applied it starts requests only within `granted` slots.
    revocation_seq: u64,
}

impl UpstreamGrant {
    fn idle_slots(&self) -> u32 {
        self.granted.saturating_sub(self.in_flight)
    }

    fn unconfirmed_idle_slots(&self) -> u32 {
        self.held.saturating_sub(self.granted.max(self.in_flight))
    }
}

#[derive(Debug, Default)]
struct RouterGrants {
    upstreams: BTreeMap<UpstreamName, UpstreamGrant>,
    granted: u32,
    /// Sequence number of the latest allocation.
    seq: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct UpstreamTotals {
    limit: u32,
    held: u32,
    granted: u32,
}

/// The slot grants of one shard, with their totals per upstream.
#[derive(Debug, Default)]
pub(crate) struct SlotGrants {
    routers: BTreeMap<Member, RouterGrants>,
    upstreams: BTreeMap<UpstreamName, UpstreamTotals>,
}

impl SlotGrants {
    /// Sets the limit of an upstream and revokes the slots above it.
    pub(crate) fn set_limit(&mut self, upstream: &UpstreamName, limit: u32) {
        let totals = self.upstreams.entry(upstream.clone()).or_default();
        totals.limit = limit;
        self.enforce_limit(upstream);
    }

    pub(crate) fn set_upstreams(&mut self, limits: &[(UpstreamName, u32)]) {
        let removed =
            self.upstreams.keys().filter(|name| !limits.iter().any(|(up, _)| up == *name));
        let removed: Vec<UpstreamName> = removed.cloned().collect();
        for name in removed {
            self.set_limit(&name, 0);
        }
        for (name, limit) in limits {
            self.set_limit(name, *limit);
        }
        self.upstreams.retain(|_, totals| totals.limit > 0 || totals.held > 0);
    }

    fn enforce_limit(&mut self, upstream: &UpstreamName) {
        let totals = self.upstreams.get_mut(upstream).expect("the upstream is known");
        while totals.granted > totals.limit {
            let grants = self.routers.values_mut().filter_map(|router_grants| {
                let grant = router_grants.upstreams.get_mut(upstream)?;
                Some((router_grants.seq, &mut router_grants.granted, grant))
            });
            let largest = grants.max_by_key(|(_, _, grant)| grant.granted);
            let (seq, granted, grant) = largest.expect("a granted slot has a router");
            grant.granted -= 1;
            grant.revocation_seq = seq + 1;
            *granted -= 1;
            totals.granted -= 1;
        }
    }

    pub(crate) fn total_limit(&self) -> u32 {
        self.upstreams.values().map(|totals| totals.limit).sum()
    }

    pub(crate) fn routers(&self) -> impl Iterator<Item = &Member> {
        self.routers.keys()
    }

    pub(crate) fn contains(&self, router: &Member) -> bool {
        self.routers.contains_key(router)
    }

    pub(crate) fn granted(&self, router: &Member) -> u32 {
        self.routers.get(router).map_or(0, |router_grants| router_grants.granted)
    }

    /// Revoked slots that the routers have not confirmed: the idle ones, which
    /// return with the router's next report, and the total.
    pub(crate) fn unconfirmed_revocations(&self) -> (u32, u32) {
        let grants =
            self.routers.values().flat_map(|router_grants| router_grants.upstreams.values());
        grants.fold((0, 0), |(idle, total), grant| {
            (idle + grant.unconfirmed_idle_slots(), total + grant.held - grant.granted)
        })
    }

    /// Whether revoked slots that the router does not use lack its
    /// confirmation.
    pub(crate) fn has_unconfirmed_idle_slots(&self, router: &Member) -> bool {
        let router_grants = self.routers.get(router);
        router_grants.is_some_and(|router_grants| {
            router_grants.upstreams.values().any(|grant| grant.unconfirmed_idle_slots() > 0)
        })
    }

    /// Slots below the limits that no router holds.
    pub(crate) fn free_slots(&self) -> u32 {
        self.upstreams.values().map(|totals| totals.limit.saturating_sub(totals.held)).sum()
    }

    /// Largest excess of `held` over the limit of an upstream.
    pub(crate) fn max_overcommitted_slots(&self) -> u32 {
        let excess = self.upstreams.values().map(|totals| totals.held.saturating_sub(totals.limit));
        excess.max().unwrap_or(0)
    }

    /// Adds a router with the slots that it holds according to its report.
    pub(crate) fn adopt_router(&mut self, report: &ShardReport, seq: u64) {
        self.remove_router(&report.router);
        let mut router_grants = RouterGrants { seq, ..RouterGrants::default() };
        for slots in &report.slots {
            let Some(totals) = self.upstreams.get_mut(&slots.upstream) else {
                continue;
            };
            let held = slots.held.max(slots.in_flight);
            let granted = slots.held.min(totals.limit.saturating_sub(totals.granted));
            totals.held += held;
            totals.granted += granted;
            router_grants.granted += granted;
            let revocation_seq = if granted < slots.held { seq + 1 } else { 0 };
            let grant = UpstreamGrant { granted, held, in_flight: slots.in_flight, revocation_seq };
            router_grants.upstreams.insert(slots.upstream.clone(), grant);
        }
        self.routers.insert(report.router.clone(), router_grants);
    }

    /// Updates the slots in use and lowers `held` to what a report confirms.
    pub(crate) fn apply_report(&mut self, report: &ShardReport, applied_seq: u64) {
        let Some(router_grants) = self.routers.get_mut(&report.router) else {
            return;
        };
        let reported: HashMap<_, _> =
            report.slots.iter().map(|slots| (&slots.upstream, slots)).collect();
        let is_latest = applied_seq == router_grants.seq;
        for (upstream, grant) in &mut router_grants.upstreams {
            let slots = reported.get(upstream);
            grant.in_flight = slots.map_or(0, |slots| slots.in_flight);
            let returned = grant.granted.saturating_sub(slots.map_or(0, |slots| slots.held));
            // A router that has applied the latest allocation and reports fewer
            // slots than it grants has returned the others. No allocation in
            // transit can restore them.
            if is_latest && returned > 0 {
                grant.granted -= returned;
                router_grants.granted -= returned;
                let totals = self.upstreams.get_mut(upstream).expect("a slot has an upstream");
                totals.granted -= returned;
            }
            if applied_seq < grant.revocation_seq {
                continue;
            }
            let held = grant.granted.max(grant.in_flight).min(grant.held);
            let totals = self.upstreams.get_mut(upstream).expect("a held slot has an upstream");
            totals.held -= grant.held - held;
            grant.held = held;
        }
        router_grants.upstreams.retain(|_, grant| grant.held > 0);
    }

    /// Removes a router and frees all slots that it holds.
    pub(crate) fn remove_router(&mut self, router: &Member) {
        let Some(router_grants) = self.routers.remove(router) else {
            return;
        };
        for (upstream, grant) in router_grants.upstreams {
            let totals = self.upstreams.get_mut(&upstream).expect("a held slot has an upstream");
            totals.held -= grant.held;
            totals.granted -= grant.granted;
        }
    }

    /// Grants up to `count` more slots to a router and returns how many it
    /// granted.
    pub(crate) fn grant(&mut self, router: &Member, count: u32) -> u32 {
        (0..count).take_while(|_| self.grant_one(router)).count() as u32
    }

    fn grant_one(&mut self, router: &Member) -> bool {
        let Some(router_grants) = self.routers.get_mut(router) else {
            return false;
        };
        // A revoked slot that the router still holds can be granted again
        // without a free slot.
        let unconfirmed = router_grants.upstreams.iter().find(|(upstream, grant)| {
            let totals = &self.upstreams[*upstream];
            grant.held > grant.granted && totals.granted < totals.limit
        });
        let unconfirmed = unconfirmed.map(|(upstream, _)| upstream.clone());
        let is_regrant = unconfirmed.is_some();
        let free = self.upstreams.iter().filter(|(_, totals)| totals.held < totals.limit);
        let most_free = free.max_by_key(|(_, totals)| totals.limit - totals.held);
        let Some(upstream) = unconfirmed.or(most_free.map(|(upstream, _)| upstream.clone())) else {
            return false;
        };
        let totals = self.upstreams.get_mut(&upstream).expect("the upstream was found");
        let grant = router_grants.upstreams.entry(upstream).or_default();
        grant.granted += 1;
        router_grants.granted += 1;
        totals.granted += 1;
        if !is_regrant {
            grant.held += 1;
            totals.held += 1;
        }
        true
    }

    /// Revokes up to `count` slots of a router, idle ones first, and returns
    /// how many it revoked. `idle_only` leaves the slots in use.
    pub(crate) fn revoke(&mut self, router: &Member, count: u32, idle_only: bool) -> u32 {
        (0..count).take_while(|_| self.revoke_one(router, idle_only)).count() as u32
    }

    fn revoke_one(&mut self, router: &Member, idle_only: bool) -> bool {
        let Some(router_grants) = self.routers.get_mut(router) else {
            return false;
        };
        let grants = router_grants.upstreams.iter_mut().filter(|(_, grant)| grant.granted > 0);
        let Some((upstream, grant)) =
            grants.max_by_key(|(_, grant)| (grant.idle_slots(), grant.granted))
        else {
            return false;
        };
        if idle_only && grant.idle_slots() == 0 {
            return false;
        }
        grant.granted -= 1;
        grant.revocation_seq = router_grants.seq + 1;
        router_grants.granted -= 1;
        self.upstreams.get_mut(upstream).expect("the upstream exists").granted -= 1;
        true
    }

    /// Sequence number and slots of a router's next allocation.
    pub(crate) fn next_allocation(&mut self, router: &Member) -> (u64, Vec<SlotRow>) {
        let Some(router_grants) = self.routers.get_mut(router) else {
            return (0, Vec::new());
        };
        router_grants.seq += 1;
        let granted = router_grants.upstreams.iter().filter(|(_, grant)| grant.granted > 0);
        let slots = granted.map(|(upstream, grant)| SlotRow {
            upstream: upstream.clone(),
            held: grant.granted,
            in_flight: grant.in_flight,
        });
        (router_grants.seq, slots.collect())
    }
}
