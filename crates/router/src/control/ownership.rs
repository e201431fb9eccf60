//! Shards that this router administers.

use std::collections::BTreeSet;

use span_fair::{Allocation, DispatchPolicy, ShardOwner, ShardReport};
use span_types::{Member, ServiceName, ShardId};

use super::{Counter, admission::Service, core::Core, settings::budget_bytes_per_s, shards};

impl Core {
    /// Puts a changed configuration into effect.
    pub fn follow_config(&mut self) {
        let document = std::sync::Arc::clone(self.config.document());
        self.shards = shards::shards(&document);
        let (policy, member) = (self.settings.policy, self.member().clone());
        for service in document.services.keys() {
            let state = self
                .services
                .entry(service.clone())
                .or_insert_with(|| Service::new(policy, service.clone(), member.clone()));
            let ids: Vec<ShardId> =
                self.shards.keys().filter(|shard| shard.service == *service).cloned().collect();
            let limits = shards::workspaces(&document, service);
            let rejected = state.configure(&limits, &ids);
            self.counters.add(Counter::Rejected, rejected);
        }
        self.drop_services(&document);
        self.follow_ownership();
        self.configure_owners();
        self.refix();
        self.pump_all();
        self.counters.increment(Counter::ConfigsApplied);
        self.has_news = true;
        tracing::info!(revision = %self.config.revision(), "configuration in force");
    }

    /// Services that are gone keep their state until their requests ended.
    fn drop_services(&mut self, document: &span_config::Document) {
        self.services.retain(|name, state| {
            let kept = document.services.contains_key(name);
            if !kept {
                state.configure(&[], &[]);
            }
            kept || state.in_flight() > 0
        });
    }

    /// Takes over and hands on shards as the live view demands.
    pub fn follow_ownership(&mut self) {
        let owners = span_member::assign_owners(self.shards.keys(), &self.view.eligible_owners());
        let owners = owners.into_iter();
        self.shard_owners =
            owners.map(|(shard, owner)| (shard.clone(), owner.member.clone())).collect();
        if self.settings.policy != DispatchPolicy::Fleet {
            return;
        }
        let me = self.member().clone();
        let mine = self.shard_owners.iter().filter(|(_, owner)| **owner == me);
        let mine: BTreeSet<ShardId> = mine.map(|(shard, _)| shard.clone()).collect();
        self.owners.retain(|shard, _| mine.contains(shard));
        let now_ms = self.now_ms();
        for shard in mine {
            if self.owners.contains_key(&shard) {
                continue;
            }
            let live: Vec<Member> =
                self.view.live_routers().iter().map(|router| router.member.clone()).collect();
            let owner = ShardOwner::new(now_ms, shard.clone(), self.member().clone(), &live);
            tracing::info!(%shard, "shard taken over");
            self.counters.increment(Counter::ShardsTaken);
            self.owners.insert(shard.clone(), owner);
            self.configure_owner(&shard);
        }
    }

    /// The router that administers a shard, as seen here.
    pub fn owner_of(&self, shard: &ShardId) -> Option<Member> {
        self.shard_owners.get(shard).cloned()
    }

    /// Tells the owners which upstreams and workspaces there are.
    pub fn configure_owners(&mut self) {
        for shard in self.owners.keys().cloned().collect::<Vec<_>>() {
            self.configure_owner(&shard);
        }
    }

    /// Upstreams whose load cannot be read get no slots, as leaving ones.
    pub fn configure_owner(&mut self, shard: &ShardId) {
        let now_ms = self.now_ms();
        let mut upstreams = self.shards.get(shard).cloned().unwrap_or_default();
        for row in &mut upstreams {
            row.leaving |= self.load.is_down(&row.upstream);
        }
        let shares = self.shares(&shard.service);
        if let Some(owner) = self.owners.get_mut(shard) {
            owner.set_workspaces(&shares);
            owner.set_upstreams(now_ms, &upstreams);
        }
    }

    fn shares(&self, service: &ServiceName) -> Vec<(span_types::WorkspaceName, u32)> {
        let rows = shards::workspaces(self.config.document(), service);
        rows.into_iter().map(|row| (row.workspace, row.share)).collect()
    }

    /// Takes a report for a shard; `None` if this router does not own it.
    pub fn owner_report(&mut self, report: &ShardReport) -> Option<Allocation> {
        let now_ms = self.now_ms();
        self.view.record_message(now_ms, &report.router);
        let owner = self.owners.get_mut(&report.shard)?;
        Some(owner.apply_report(now_ms, report))
    }

    /// Allocations that owners here push: those for this router are applied,
    /// the others are returned.
    pub fn pushes(&mut self) -> Vec<(Member, Allocation)> {
        let now_ms = self.now_ms();
        let mut pushes = Vec::new();
        for owner in self.owners.values_mut() {
            pushes.extend(owner.take_pushes(now_ms));
        }
        let (own, others): (Vec<_>, Vec<_>) =
            pushes.into_iter().partition(|(router, _)| *router == *self.member());
        for (_, allocation) in own {
            self.apply(allocation);
        }
        others
    }

    /// Fits the budget to the size of the fleet unless the settings name one.
    pub fn fit_budget(&mut self) {
        let live_routers = self.view.live_routers().len();
        let budget = self.settings.budget_bytes_per_s;
        self.pacer.set_budget(budget.unwrap_or_else(|| budget_bytes_per_s(live_routers)));
    }

    /// Extends the report periods while the control traffic is over its budget.
    pub fn pace_owners(&mut self) {
        for owner in self.owners.values_mut() {
            let period_ms = self.pacer.period_ms(owner.min_report_period_ms());
            owner.request_report_period(period_ms);
        }
    }
}
