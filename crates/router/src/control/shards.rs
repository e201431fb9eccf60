//! Shards, workspaces and fixed slots as the configuration implies them.

use std::collections::BTreeMap;

use span_config::Document;
use span_fair::{ShardUpstream, SlotRow, WorkspaceLimits, assign_shards};
use span_member::Router;
use span_types::{InstanceName, ServiceName, ShardId, UpstreamName};

/// The shards of all services with their upstreams.
pub(super) fn shards_of(document: &Document) -> BTreeMap<ShardId, Vec<ShardUpstream>> {
    let mut shards = BTreeMap::new();
    for service in document.services.keys() {
        let names = upstreams_of(document, service);
        if names.is_empty() {
            continue;
        }
        for (index, members) in (0..).zip(assign_shards(&names)) {
            let id = ShardId { service: service.clone(), index };
            let rows = members.iter().filter_map(|name| upstream_slots(document, name));
            shards.insert(id, rows.collect());
        }
    }
    shards
}

fn upstreams_of(document: &Document, service: &ServiceName) -> Vec<UpstreamName> {
    let all = document.upstreams.iter().filter(|(_, row)| row.service == *service);
    all.map(|(name, _)| name.clone()).collect()
}

fn upstream_slots(document: &Document, name: &UpstreamName) -> Option<ShardUpstream> {
    let row = document.upstreams.get(name)?;
    Some(ShardUpstream {
        upstream: name.clone(),
        failure_domain: row.failure_domain.clone(),
        max_concurrency: row.max_concurrency,
        leaving: row.leaving,
    })
}

/// The workspaces that may call a service.
pub(super) fn workspace_limits(document: &Document, service: &ServiceName) -> Vec<WorkspaceLimits> {
    let all = document.workspaces.iter().filter(|(_, row)| row.services.contains(service));
    all.map(|(name, row)| WorkspaceLimits {
        workspace: name.clone(),
        share: row.share,
        queue_limit: row.queue_limit,
        deadline_ms: row.deadline_ms,
    })
    .collect()
}

/// The part of each upstream's slots that `me` may use without an owner: the
/// live routers take turns, starting from a different one for each upstream.
pub(super) fn fixed_slots(
    upstreams: &[ShardUpstream],
    live: &[&Router],
    me: &InstanceName,
) -> Vec<SlotRow> {
    let count = live.len().max(1) as u32;
    let position = live.iter().position(|router| router.member.instance == *me).unwrap_or(0);
    let row = |(index, upstream): (u32, &ShardUpstream)| {
        let turn = (position as u32 + index) % count;
        let extra = u32::from(turn < upstream.max_concurrency % count);
        let held = if upstream.leaving { 0 } else { upstream.max_concurrency / count + extra };
        SlotRow { upstream: upstream.upstream.clone(), held, in_flight: 0 }
    };
    (0..).zip(upstreams).map(row).collect()
}
