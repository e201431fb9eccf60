//! Tests of what a leaving router still starts.

use std::time::Duration;

use span_router::{drain::DrainPlan, settings::Timeouts};
use tokio::time::Instant;

/// Guards against requests that a leaving router starts although their time limit passes its
/// end, against rejections of those that have enough time, and against steps in a wrong order.
#[test]
fn requests_start_only_if_they_can_end_before_the_router() {
    struct Case {
        name: &'static str,
        address_lifetime_ms: u64,
        shutdown_ms: u64,
        answer_ms: u64,
        /// Time of the last start after the begin of the stop; `None` if nothing starts.
        last_start_ms: Option<u64>,
    }
    let defaults = Timeouts::default();
    let cases = [
        Case {
            name: "defaults",
            address_lifetime_ms: defaults.address_lifetime_ms,
            shutdown_ms: defaults.shutdown_ms,
            answer_ms: defaults.answer_ms,
            last_start_ms: Some(179_000),
        },
        Case {
            name: "exactly enough",
            address_lifetime_ms: 0,
            shutdown_ms: 5_000,
            answer_ms: 4_000,
            last_start_ms: Some(0),
        },
        Case {
            name: "too long",
            address_lifetime_ms: 0,
            shutdown_ms: 5_000,
            answer_ms: 4_001,
            last_start_ms: None,
        },
        Case {
            name: "no time at all",
            address_lifetime_ms: 0,
            shutdown_ms: 0,
            answer_ms: 1,
            last_start_ms: None,
        },
    ];
    let now = Instant::now();
    for case in cases {
        let timeouts = Timeouts {
            address_lifetime_ms: case.address_lifetime_ms,
            shutdown_ms: case.shutdown_ms,
            answer_ms: case.answer_ms,
            ..Timeouts::default()
        };
        let plan = DrainPlan::new(now, &timeouts);
        let limit = Duration::from_millis(case.answer_ms);
        let at = |ms| now + Duration::from_millis(ms);
        let last_start_ms = case.last_start_ms;
        assert_eq!(plan.may_start(now, limit), last_start_ms.is_some(), "{}", case.name);
        if let Some(last_ms) = last_start_ms {
            assert!(plan.may_start(at(last_ms), limit), "{}", case.name);
            assert!(!plan.may_start(at(last_ms + 1), limit), "{}", case.name);
        }
        assert!(now <= plan.answer_by && plan.answer_by <= plan.end, "{}", case.name);
        assert_eq!(plan.end, at(case.shutdown_ms), "{}", case.name);
    }
}
