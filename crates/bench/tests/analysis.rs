//! The analysis on small hand-made runs with known answers.

use span_bench::analysis::{
    Served, ServiceRun, Wait,
    bound::Terms,
    gap::gaps,
    interval::{Interval, intersection, union},
    received::received,
    utilisation::utilisation,
};

/// Name, executions, waits, waiting time, busy and work-conserving use.
type UseCase<'a> = (&'a str, &'a [Served], &'a [Wait], u64, f64, f64);

fn interval(from_us: u64, to_us: u64) -> Interval {
    Interval { from_us, to_us }
}

fn served(workspace: usize, start_us: u64, end_us: u64, cost: u64) -> Served {
    Served { workspace, start_us, end_us, cost }
}

fn wait(workspace: usize, from_us: u64, to_us: u64) -> Wait {
    Wait { workspace, interval: interval(from_us, to_us) }
}

fn run(shares: &[f64], slots: u32, served: &[Served], waits: &[Wait]) -> ServiceRun {
    ServiceRun { shares: shares.to_vec(), slots, served: served.to_vec(), waits: waits.to_vec() }
}

/// Guards against backlogs that are split or joined wrongly.
#[test]
fn intervals() {
    let merged = union(vec![interval(5, 9), interval(0, 3), interval(3, 4), interval(7, 8)]);
    assert_eq!(merged, [interval(0, 4), interval(5, 9)]);
    assert_eq!(union(vec![interval(4, 4), interval(6, 2)]), []);
    let both = intersection(&merged, &[interval(2, 6), interval(8, 20)]);
    assert_eq!(both, [interval(2, 4), interval(5, 6), interval(8, 9)]);
}

/// Guards against cost at the wrong time or without division by the share.
#[test]
fn service_received_is_linear_in_an_execution() {
    let run = run(&[2.0], 2, &[served(0, 10, 20, 100), served(0, 15, 25, 40)], &[]);
    let received = received(&run, [0, 12]);
    assert_eq!(received.times_us, [0, 10, 12, 15, 20, 25]);
    let expected = [0.0, 0.0, 10.0, 25.0, 60.0, 70.0];
    for (value, expected) in received.service[0].iter().zip(expected) {
        assert!((value - expected).abs() < 1e-9, "{:?}", received.service);
    }
}

struct GapCase {
    name: &'static str,
    shares: [f64; 2],
    served: Vec<Served>,
    waits: Vec<Wait>,
    gap: Option<f64>,
}

/// Guards against gaps counted outside a common backlog, only from its start,
/// only at its end, or without shares.
#[test]
fn largest_gaps() {
    let always = [wait(0, 0, 100), wait(1, 0, 100)];
    let cases = [
        GapCase {
            name: "equal service at the same time",
            shares: [1.0, 1.0],
            served: vec![served(0, 0, 100, 50), served(1, 0, 100, 50)],
            waits: always.to_vec(),
            gap: Some(0.0),
        },
        GapCase {
            name: "equal service relative to shares",
            shares: [3.0, 1.0],
            served: vec![served(0, 0, 100, 150), served(1, 0, 100, 50)],
            waits: always.to_vec(),
            gap: Some(0.0),
        },
        GapCase {
            name: "turns: the gap arises and closes again",
            shares: [1.0, 1.0],
            served: vec![served(0, 0, 50, 50), served(1, 50, 100, 50)],
            waits: always.to_vec(),
            gap: Some(50.0),
        },
        GapCase {
            name: "from one lead to the other: largest over inner intervals",
            shares: [1.0, 1.0],
            served: vec![served(0, 0, 20, 20), served(1, 20, 80, 60), served(0, 80, 100, 20)],
            waits: always.to_vec(),
            gap: Some(60.0),
        },
        GapCase {
            name: "the backlog of one begins late",
            shares: [1.0, 1.0],
            served: vec![served(0, 0, 100, 100)],
            waits: vec![wait(0, 0, 100), wait(1, 70, 100)],
            gap: Some(30.0),
        },
        GapCase {
            name: "a pause in the backlog separates intervals",
            shares: [1.0, 1.0],
            served: vec![served(0, 0, 100, 100)],
            waits: vec![wait(0, 0, 100), wait(1, 0, 40), wait(1, 50, 75)],
            gap: Some(40.0),
        },
        GapCase {
            name: "never backlogged together",
            shares: [1.0, 1.0],
            served: vec![served(0, 0, 100, 100)],
            waits: vec![wait(0, 0, 50), wait(1, 50, 100)],
            gap: None,
        },
    ];
    for case in cases {
        let found = gaps(&run(&case.shares, 1, &case.served, &case.waits));
        let gap = found.first().map(|gap| gap.gap);
        let close = match (gap, case.gap) {
            (Some(gap), Some(expected)) => (gap - expected).abs() < 1e-6,
            (gap, expected) => gap == expected,
        };
        assert!(close, "{}: {gap:?} instead of {:?}", case.name, case.gap);
    }
}

/// Guards against a wrong reading of the formula. By hand: 4 slots, largest
/// cost 10, 200 cost/s, 0.25 s, share 2: 4 · (20 + 50 · 3) / 2 = 340.
#[test]
fn bound_of_the_design() {
    let terms = Terms { slots: 4, largest_cost: 10, slot_rate: 200.0, information_age_s: 0.25 };
    assert_eq!(terms.bound(2.0), 340.0);
    assert_eq!(Terms { slots: 5, ..terms }.bound(1.0), 5.0 * (20.0 + 50.0 * 4.0));
    assert_eq!(Terms { slots: 1, ..terms }.bound(1.0), 70.0);
    let run = run(&[1.0], 4, &[served(0, 0, 50_000, 10), served(0, 0, 10, 1)], &[]);
    assert_eq!(Terms::of(&run, 0.25, 1_000), terms);
}

/// Guards against idle time without waiting work counting as waste, and
/// against waste that is missed.
#[test]
fn use_of_slots_while_work_waits() {
    let cases: [UseCase<'_>; 5] = [
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
    for (name, served, waits, waiting_us, busy, work_conserving) in cases {
        let found = utilisation(&run(&[1.0], 2, served, waits), 0, 100);
        assert_eq!(found.waiting_us, waiting_us, "{name}");
        assert_eq!((found.busy, found.work_conserving), (busy, work_conserving), "{name}");
    }
    // Four slots, one busy, one request waiting: it could use one more.
    let run = run(&[1.0], 4, &[served(0, 0, 10, 1)], &[wait(0, 0, 10)]);
    let found = utilisation(&run, 0, 10);
    assert_eq!((found.busy, found.work_conserving), (0.25, 0.5));
}
