//! Tests of the limits on requests per second that upstreams name.

#![allow(clippy::unwrap_used)]

use span_edge::upstream_limit::LimitStatement;

fn statement(per_s: Option<f64>, sent_ms: u64, received_ms: u64) -> LimitStatement {
    LimitStatement { per_s, sent_ms, received_ms }
}

/// Guards against an answer that was under way when a limit was named or lowered, and that
/// would end or raise it again.
#[test]
fn overlapping_answers_leave_the_stricter_limit() {
    struct Case {
        name: &'static str,
        known: LimitStatement,
        new: LimitStatement,
        replaces: bool,
    }
    let known = statement(Some(10.0), 1_000, 1_200);
    let cases = [
        Case {
            name: "later request, no limit",
            known,
            new: statement(None, 1_200, 1_300),
            replaces: true,
        },
        Case {
            name: "later request, higher limit",
            known,
            new: statement(Some(20.0), 1_201, 1_300),
            replaces: true,
        },
        Case {
            name: "overlapping, no limit",
            known,
            new: statement(None, 1_199, 1_300),
            replaces: false,
        },
        Case {
            name: "overlapping, higher limit",
            known,
            new: statement(Some(20.0), 1_100, 1_300),
            replaces: false,
        },
        Case {
            name: "overlapping, lower limit",
            known,
            new: statement(Some(5.0), 900, 1_100),
            replaces: true,
        },
        Case {
            name: "overlapping, the same limit, later",
            known,
            new: statement(Some(10.0), 1_100, 1_300),
            replaces: true,
        },
        Case {
            name: "overlapping, the same limit, earlier",
            known,
            new: statement(Some(10.0), 900, 1_100),
            replaces: false,
        },
        Case {
            name: "earlier answer, lower limit",
            known,
            new: statement(Some(5.0), 900, 1_000),
            replaces: false,
        },
        Case {
            name: "overlapping the end, a limit",
            known: statement(None, 1_000, 1_200),
            new: statement(Some(10.0), 900, 1_300),
            replaces: true,
        },
    ];
    for Case { name, known, new, replaces } in cases {
        assert_eq!(new.replaces(&known), replaces, "{name}");
    }
}
