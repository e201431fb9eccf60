//! Sample messages for the tests.

use span_fair::{Allocation, ShardReport, SlotRow, VirtualTimeRow, WorkspaceRow};
use span_member::{MemberUpdate, Router};
use span_types::{Incarnation, Member, MemberState, Revision, ShardId};
use span_wire::Heartbeat;

pub fn member(name: &str) -> Member {
    Member { instance: name.into(), incarnation: Incarnation(1_764_795_600_000_000) }
}

pub fn shard() -> ShardId {
    ShardId { service: "stitch-assist".into(), index: 0 }
}

pub fn update(name: &str) -> MemberUpdate {
    let router = Router {
        member: member(name),
        http_address: "10.0.0.1:8080".parse().expect("address"),
        peer_address: "[fd00::1]:8081".parse().expect("address"),
        failure_domain: "hall-atl".into(),
        processor_millicores: 0,
    };
    MemberUpdate { router, epoch: 3, state: MemberState::Leaving }
}

pub fn heartbeat(revision: u64) -> Heartbeat {
    Heartbeat {
        sender: update("router-1"),
        revision: Revision(revision),
        view_hash: 0x5eed_5eed_5eed_5eed,
        updates: Vec::new(),
        wants_all_updates: false,
    }
}

pub fn slots(count: u32, round: u32) -> Vec<SlotRow> {
    let row = |index: u32| SlotRow {
        upstream: format!("engine-{index:02}").into(),
        held: 3 + (index + round) % 3,
        in_flight: 2 + (index * 7 + round * 5) % 4,
    };
    (0..count).map(row).collect()
}

/// A report whose numbers change with each round, as under load.
pub fn report(workspaces: u32, upstreams: u32, round: u32) -> ShardReport {
    let row = |index: u32| WorkspaceRow {
        workspace: format!("workspace-{index:02}").into(),
        served_cost: u64::from(100_000 + index * 7_919 + round * (977 + index * 31)),
        reserved_cost: u64::from(500 + (index * 613 + round * 271) % 900),
        in_flight: 1 + (index + round) % 4,
        waiting: (index * 3 + round) % 9,
    };
    ShardReport {
        shard: shard(),
        router: member("router-1"),
        seq: u64::from(round) + 1,
        max_cost: 4_096,
        max_rate: 77,
        applied_owner: Some(member("router-2")),
        applied_seq: u64::from(round),
        workspaces: (0..workspaces).map(row).collect(),
        slots: slots(upstreams, round),
        standings: Vec::new(),
    }
}

pub fn standings(workspaces: u32, round: u32) -> Vec<VirtualTimeRow> {
    let row = |index: u32| VirtualTimeRow {
        workspace: format!("workspace-{index:02}").into(),
        virtual_time: f64::from(90_000 + index * 17 + round * 4_001) + 0.25,
        included_cost: u64::from(100_000 + index * 7_919 + round * (977 + index * 31)),
    };
    (0..workspaces).map(row).collect()
}

pub fn allocation(workspaces: u32, upstreams: u32, round: u32) -> Allocation {
    Allocation {
        shard: shard(),
        owner: member("router-2"),
        seq: u64::from(round) + 1,
        answers: u64::from(round) + 1,
        virtual_time: f64::from(90_000 + round * 4_001) + 0.75,
        valid_for_ms: 5_000,
        next_report_ms: 250,
        confirm: round.is_multiple_of(3),
        saturated: round.is_multiple_of(2),
        slots: slots(upstreams, round + 1),
        standings: standings(workspaces, round),
    }
}

/// Virtual times in an owner's reply to `report`: one row for each workspace of
/// the report, in the same order. The included cost is the sum of served and
/// reserved cost in the report.
pub fn reply_standings(report: &ShardReport, round: u32) -> Vec<VirtualTimeRow> {
    let standings = standings(report.workspaces.len() as u32, round);
    let row = |(standing, row): (VirtualTimeRow, &WorkspaceRow)| VirtualTimeRow {
        workspace: row.workspace.clone(),
        included_cost: row.served_cost + row.reserved_cost,
        ..standing
    };
    standings.into_iter().zip(&report.workspaces).map(row).collect()
}
