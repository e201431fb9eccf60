//! Report periods that a shard owner requests from routers.

use span_fair::{ShardOwner, ShardReport, report_period_ms};
use span_types::{Incarnation, Member, ShardId};

fn member(name: &str) -> Member {
    Member { instance: name.into(), incarnation: Incarnation(1) }
}

fn shard() -> ShardId {
    ShardId { service: "stitch-assist".into(), index: 0 }
}

fn report() -> ShardReport {
    ShardReport {
        shard: shard(),
        router: member("router-1"),
        seq: 1,
        max_cost: 400,
        max_rate: 200,
        applied_owner: None,
        applied_seq: 0,
        workspaces: Vec::new(),
        slots: Vec::new(),
        standings: Vec::new(),
    }
}

struct Case {
    guards_against: &'static str,
    requested_period_ms: u64,
    period_ms: u64,
    valid_for_ms: u64,
}

/// Guards against a longer period without a longer validity, with which
/// allocations expire before the next report is due.
#[test]
fn allocation_validity_follows_report_period() {
    let min_period_ms = report_period_ms(1);
    let cases = [
        Case {
            guards_against: "a period other than the minimum without a request",
            requested_period_ms: 0,
            period_ms: min_period_ms,
            valid_for_ms: 5_000,
        },
        Case {
            guards_against: "a period below the minimum for the number of routers",
            requested_period_ms: 100,
            period_ms: min_period_ms,
            valid_for_ms: 5_000,
        },
        Case {
            guards_against: "a requested period above the minimum that is ignored",
            requested_period_ms: 1_000,
            period_ms: 1_000,
            valid_for_ms: 5_000,
        },
        Case {
            guards_against: "allocations that expire when a report is lost",
            requested_period_ms: 2_000,
            period_ms: 2_000,
            valid_for_ms: 6_000,
        },
    ];
    for case in cases {
        let mut owner = ShardOwner::new(0, shard(), member("router-0"), &[]);
        owner.request_report_period(case.requested_period_ms);
        let allocation = owner.apply_report(0, &report());
        assert_eq!(allocation.next_report_ms, case.period_ms, "{}", case.guards_against);
        assert_eq!(allocation.valid_for_ms, case.valid_for_ms, "{}", case.guards_against);
        assert_eq!(owner.min_report_period_ms(), min_period_ms, "{}", case.guards_against);
    }
}
