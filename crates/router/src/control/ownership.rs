//! Ownership of shards, and the owner's side of slot allocation.

use std::collections::BTreeSet;

use span_fair::{Allocation, DispatchPolicy, ShardOwner, ShardReport};
use span_types::{Member, ServiceName, ShardId};

use super::{
    Counter, admission::ServiceState, settings::default_budget_bytes_per_s, shards,
    state::ControlState,
};

impl ControlState {
    /// Updates services, shards and slots after a change of the configuration.
    pub fn apply_new_config(&mut self) {
        let document = std::sync::Arc::clone(self.config.document());
        self.shards = shards::shards_of(&document);
        let (policy, member) = (self.settings.policy, self.member().clone());
        for service in document.services.keys() {
            let state = self
                .services
                .entry(service.clone())
                .or_insert_with(|| ServiceState::new(policy, service.clone(), member.clone()));
            let ids: Vec<ShardId> =
                self.shards.keys().filter(|shard| shard.service == *service).cloned().collect();
            let limits = shards::workspace_limits(&document, service);
            let rejected = state.configure(&limits, &ids);
            self.counters.add(Counter::Rejected, rejected);
        }
        self.remove_unused_services(&document);
        self.update_ownership();
        self.configure_owners();
        self.update_fixed_slots();
        self.dispatch_all();
        self.counters.increment(Counter::ConfigsApplied);
        self.has_urgent_update = true;
        tracing::info!(revision = %self.config.revision(), "configuration in force");
    }

    /// Removes services that are no longer configured, once their last request
    /// has ended.
    fn remove_unused_services(&mut self, document: &span_config::Document) {
        self.services.retain(|name, state| {
            let kept = document.services.contains_key(name);
            if !kept {
                state.configure(&[], &[]);
            }
            kept || state.in_flight_count() > 0
        });
    }

    /// Recomputes the owner of each shard from the membership view. Under the
    /// policy with shard owners, takes over new shards and drops those that
    /// other routers now own.
    pub fn update_ownership(&mut self) {
        let owners = span_member::assign_owners(self.shards.keys(), &self.view.eligible_owners());
        let owners = owners.into_iter();
        self.shard_owners =
            owners.map(|(shard, owner)| (shard.clone(), owner.member.clone())).collect();
        if self.settings.policy != DispatchPolicy::Fleet {
            return;
        }
        let own_member = self.member().clone();
        let own_shards = self.shard_owners.iter().filter(|(_, owner)| **owner == own_member);
        let own_shards: BTreeSet<ShardId> = own_shards.map(|(shard, _)| shard.clone()).collect();
        self.owned_shards.retain(|shard, _| own_shards.contains(shard));
        let now_ms = self.now_ms();
        for shard in own_shards {
            if self.owned_shards.contains_key(&shard) {
                continue;
            }
            let live: Vec<Member> =
                self.view.live_routers().iter().map(|router| router.member.clone()).collect();
            let owner = ShardOwner::new(now_ms, shard.clone(), self.member().clone(), &live);
            tracing::info!(%shard, "shard taken over");
            self.counters.increment(Counter::ShardsTaken);
            self.owned_shards.insert(shard.clone(), owner);
            self.configure_owner(&shard);
        }
    }

    /// Owner of a shard according to the local membership view.
    pub fn owner_of(&self, shard: &ShardId) -> Option<Member> {
        self.shard_owners.get(shard).cloned()
    }

    /// Updates the upstreams and workspaces of all owned shards.
    pub fn configure_owners(&mut self) {
        for shard in self.owned_shards.keys().cloned().collect::<Vec<_>>() {
            self.configure_owner(&shard);
        }
    }

    /// Updates the upstreams and workspaces of an owned shard. Upstreams that
    /// do not answer load polls get no slots, like leaving ones.
    pub fn configure_owner(&mut self, shard: &ShardId) {
        let now_ms = self.now_ms();
        let mut upstreams = self.shards.get(shard).cloned().unwrap_or_default();
        for row in &mut upstreams {
            row.leaving |= self.load.is_down(&row.upstream);
        }
        let shares = self.shares(&shard.service);
        if let Some(owner) = self.owned_shards.get_mut(shard) {
            owner.set_workspaces(&shares);
            owner.set_upstreams(now_ms, &upstreams);
        }
    }

    fn shares(&self, service: &ServiceName) -> Vec<(span_types::WorkspaceName, u32)> {
        let rows = shards::workspace_limits(self.config.document(), service);
        rows.into_iter().map(|row| (row.workspace, row.share)).collect()
    }

    /// Handles a report for a shard; `None` if this router does not own it.
    pub fn handle_report(&mut self, report: &ShardReport) -> Option<Allocation> {
        let now_ms = self.now_ms();
        self.view.record_message(now_ms, &report.router);
        let owner = self.owned_shards.get_mut(&report.shard)?;
        Some(owner.apply_report(now_ms, report))
    }

    /// Applies due pushes that are for this router, and returns those for other
    /// routers.
    pub fn due_pushes(&mut self) -> Vec<(Member, Allocation)> {
        let now_ms = self.now_ms();
        let mut pushes = Vec::new();
        for owner in self.owned_shards.values_mut() {
            pushes.extend(owner.take_pushes(now_ms));
        }
        let (own, others): (Vec<_>, Vec<_>) =
            pushes.into_iter().partition(|(router, _)| *router == *self.member());
        for (_, allocation) in own {
            self.apply_allocation(allocation);
        }
        others
    }

    /// Sets the traffic budget from the settings, or else from the number of
    /// live routers.
    pub fn update_budget(&mut self) {
        let live_routers = self.view.live_routers().len();
        let budget = self.settings.budget_bytes_per_s;
        self.pacer.set_budget(budget.unwrap_or_else(|| default_budget_bytes_per_s(live_routers)));
    }

    /// Sets the report periods of owned shards; they are extended while the
    /// control traffic exceeds its budget.
    pub fn update_report_periods(&mut self) {
        for owner in self.owned_shards.values_mut() {
            let period_ms = self.pacer.period_ms(owner.min_report_period_ms());
            owner.request_report_period(period_ms);
        }
    }
}
