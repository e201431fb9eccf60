//! Tests of the analysis on small runs with known results.

use span_bench::analysis::{
    ServedExecution, ServiceRun, WaitingRequest,
    bound::BoundTerms,
    gap::service_gaps,
    interval::{Interval, intersection, union},
    received::service_received,
    utilisation::utilisation,
};

/// Name, executions, waiting requests, waiting time in microseconds, busy fraction and
/// work-conserving fraction.
type UtilisationCase<'a> = (&'a str, &'a [ServedExecution], &'a [WaitingRequest], u64, f64, f64);

fn interval(from_us: u64, to_us: u64) -> Interval {
    Interval { from_us, to_us }
}

fn served(workspace: usize, start_us: u64, end_us: u64, cost: u64) -> ServedExecution {
    ServedExecution { workspace, start_us, end_us, cost }
}

fn wait(workspace: usize, from_us: u64, to_us: u64) -> WaitingRequest {
    WaitingRequest { workspace, interval: interval(from_us, to_us) }
}

fn run(
    shares: &[f64],
    slots: u32,
    served: &[ServedExecution],
    waiting_requests: &[WaitingRequest],
) -> ServiceRun {
    ServiceRun {
        shares: shares.to_vec(),
        slots,
        served: served.to_vec(),
        waiting_requests: waiting_requests.to_vec(),
    }
}

/// Guards against backlogs that are split or merged incorrectly.
#[test]
fn interval_operations() {
    let merged = union(vec![interval(5, 9), interval(0, 3), interval(3, 4), interval(7, 8)]);
    assert_eq!(merged, [interval(0, 4), interval(5, 9)]);
    assert_eq!(union(vec![interval(4, 4), interval(6, 2)]), []);
    let both = intersection(&merged, &[interval(2, 6), interval(8, 20)]);
    assert_eq!(both, [interval(2, 4), interval(5, 6), interval(8, 9)]);
}

/// Guards against cost that is counted at the wrong time or not divided by the share.
#[test]
fn service_received_is_linear_during_an_execution() {
    let run = run(&[2.0], 2, &[served(0, 10, 20, 100), served(0, 15, 25, 40)], &[]);
    let received = service_received(&run, [0, 12]);
    assert_eq!(received.times_us, [0, 10, 12, 15, 20, 25]);
    let expected = [0.0, 0.0, 10.0, 25.0, 60.0, 70.0];
    for (value, expected) in received.service[0].iter().zip(expected) {
        assert!((value - expected).abs() < 1e-9, "{:?}", received.service);
    }
}

struct GapCase {
    name: &'static str,
    shares: [f64; 2],
    served: Vec<ServedExecution>,
    waiting_requests: Vec<WaitingRequest>,
    gap: Option<f64>,
}

/// Guards against gaps that are counted outside a common backlog, only from its start,
/// only at its end, or without regard to shares.
#[test]
fn largest_gap_of_a_pair() {
    let always_waiting = [wait(0, 0, 100), wait(1, 0, 100)];
    let cases = [
        GapCase {
            name: "equal service at the same time",
            shares: [1.0, 1.0],
            served: vec![served(0, 0, 100, 50), served(1, 0, 100, 50)],
            waiting_requests: always_waiting.to_vec(),
            gap: Some(0.0),
        },
        GapCase {
            name: "equal service relative to shares",
            shares: [3.0, 1.0],
            served: vec![served(0, 0, 100, 150), served(1, 0, 100, 50)],
            waiting_requests: always_waiting.to_vec(),
            gap: Some(0.0),
        },
        GapCase {
            name: "alternating service: the gap opens and closes",
            shares: [1.0, 1.0],
            served: vec![served(0, 0, 50, 50), served(1, 50, 100, 50)],
            waiting_requests: always_waiting.to_vec(),
            gap: Some(50.0),
        },
        GapCase {
            name: "the lead changes: the largest gap is in an inner interval",
            shares: [1.0, 1.0],
            served: vec![served(0, 0, 20, 20), served(1, 20, 80, 60), served(0, 80, 100, 20)],
            waiting_requests: always_waiting.to_vec(),
            gap: Some(60.0),
        },
        GapCase {
            name: "one backlog begins late",
            shares: [1.0, 1.0],
            served: vec![served(0, 0, 100, 100)],
            waiting_requests: vec![wait(0, 0, 100), wait(1, 70, 100)],
            gap: Some(30.0),
        },
        GapCase {
            name: "a pause in the backlog separates intervals",
            shares: [1.0, 1.0],
            served: vec![served(0, 0, 100, 100)],
            waiting_requests: vec![wait(0, 0, 100), wait(1, 0, 40), wait(1, 50, 75)],
            gap: Some(40.0),
        },
        GapCase {
            name: "never backlogged at the same time",
            shares: [1.0, 1.0],
            served: vec![served(0, 0, 100, 100)],
            waiting_requests: vec![wait(0, 0, 50), wait(1, 50, 100)],
            gap: None,
        },
    ];
    for case in cases {
        let found = service_gaps(&run(&case.shares, 1, &case.served, &case.waiting_requests));
        let gap = found.first().map(|gap| gap.gap);
        let close = match (gap, case.gap) {
            (Some(gap), Some(expected)) => (gap - expected).abs() < 1e-6,
            (gap, expected) => gap == expected,
        };
        assert!(close, "{}: {gap:?} instead of {:?}", case.name, case.gap);
    }
}

/// Guards against a wrong implementation of the formula. Calculated by hand: 4 slots,
/// largest cost 10, 200 cost units/s, 0.25 s, share 2: 4 · (20 + 50 · 3) / 2 = 340.
#[test]
fn fairness_bound() {
    let terms =
        BoundTerms { slots: 4, largest_cost: 10, slot_rate: 200.0, information_age_s: 0.25 };
    assert_eq!(terms.bound(2.0), 340.0);
    assert_eq!(BoundTerms { slots: 5, ..terms }.bound(1.0), 5.0 * (20.0 + 50.0 * 4.0));
    assert_eq!(BoundTerms { slots: 1, ..terms }.bound(1.0), 70.0);
    let run = run(&[1.0], 4, &[served(0, 0, 50_000, 10), served(0, 0, 10, 1)], &[]);
    assert_eq!(BoundTerms::from_run(&run, 0.25, 1_000), terms);
}

/// Guards against counting idle slots while no request waits, and against missing idle
/// slots while one waits.
#[test]
fn utilisation_while_requests_wait() {
    let cases: [UtilisationCase<'_>; 5] = [
        ("nothing waits", &[served(0, 0, 50, 1)], &[], 0, 1.0, 1.0),
        (
            "all busy",
            &[served(0, 0, 100, 1), served(0, 0, 100, 1)],
            &[wait(0, 0, 100)],
            100,
            1.0,
            1.0,
        ),
        ("one of two idle", &[served(0, 0, 100, 1)], &[wait(0, 20, 60)], 40, 0.5, 0.5),
        (
            "idle before the wait",
            &[served(0, 50, 100, 1), served(0, 50, 100, 1)],
            &[wait(0, 50, 100)],
            50,
            1.0,
            1.0,
        ),
        ("nothing runs, one waits", &[], &[wait(0, 0, 10)], 10, 0.0, 0.0),
    ];
    for (name, served, waiting_requests, waiting_us, busy, work_conserving_fraction) in cases {
        let found = utilisation(&run(&[1.0], 2, served, waiting_requests), 0, 100);
        assert_eq!(found.waiting_us, waiting_us, "{name}");
        assert_eq!(
            (found.busy_fraction, found.work_conserving_fraction),
            (busy, work_conserving_fraction),
            "{name}"
        );
    }
    // Four slots, one busy, and one waiting request, which could use one more slot.
    let run = run(&[1.0], 4, &[served(0, 0, 10, 1)], &[wait(0, 0, 10)]);
    let found = utilisation(&run, 0, 10);
    assert_eq!((found.busy_fraction, found.work_conserving_fraction), (0.25, 0.5));
}
