//! Tests of when an overloaded process accepts connections.

use span_edge::overload::OverloadDetector;

/// All callers of a workspace used one router with 0.12 of a core and sent several
/// times what it could read. Each request was accepted so late that hardly any was
/// served in time (scenario scale-2 of cordillera-rosemary-grown, seed
/// 295355987593).
#[test]
fn overloaded_process_accepts_no_connection_until_it_has_caught_up() {
    struct Case {
        name: &'static str,
        /// When the periodic task, which is due every 50 ms, ran, and the rounds of the runtime
        /// that were measured after it, in milliseconds.
        ticks_ms: &'static [(u64, &'static [u64])],
        accepted_ms: u64,
        now_ms: u64,
        may_accept: bool,
    }
    const BUSY: &[u64] = &[13, 13, 13, 13, 13, 13];
    let cases = [
        Case { name: "no tick yet", ticks_ms: &[], accepted_ms: 0, now_ms: 10, may_accept: true },
        Case {
            name: "tick in time",
            ticks_ms: &[(1_000, &[]), (1_051, &[])],
            accepted_ms: 1_050,
            now_ms: 1_060,
            may_accept: true,
        },
        Case {
            name: "late tick, and as much work after it",
            ticks_ms: &[(1_000, &[]), (1_090, BUSY)],
            accepted_ms: 1_050,
            now_ms: 1_170,
            may_accept: false,
        },
        Case {
            name: "overload, then another late tick",
            ticks_ms: &[(1_000, &[]), (1_090, BUSY), (1_260, &[13])],
            accepted_ms: 1_050,
            now_ms: 1_274,
            may_accept: false,
        },
        Case {
            name: "overload, then tick in time",
            ticks_ms: &[(1_000, &[]), (1_090, BUSY), (1_220, &[])],
            accepted_ms: 1_050,
            now_ms: 1_221,
            may_accept: true,
        },
        // A ready router has to accept a connection from time to time.
        Case {
            name: "overload and no accept for a long time",
            ticks_ms: &[(1_000, &[]), (1_090, BUSY)],
            accepted_ms: 600,
            now_ms: 1_170,
            may_accept: true,
        },
        Case {
            name: "late tick alone",
            ticks_ms: &[(1_000, &[]), (1_090, &[0])],
            accepted_ms: 1_050,
            now_ms: 1_091,
            may_accept: true,
        },
        Case {
            name: "work of a standstill, then caught up",
            ticks_ms: &[(1_000, &[]), (1_138, &[4, 92, 0])],
            accepted_ms: 1_050,
            now_ms: 1_240,
            may_accept: true,
        },
    ];
    for case in cases {
        let mut overload = OverloadDetector::new(120);
        for (tick_ms, rounds_ms) in case.ticks_ms {
            overload.record_tick(*tick_ms);
            let mut now_ms = *tick_ms;
            for round_ms in *rounds_ms {
                assert!(overload.needs_round(), "{}", case.name);
                now_ms += round_ms;
                overload.record_round(now_ms, round_ms * 1_000);
            }
        }
        overload.record_accept(case.accepted_ms);
        assert_eq!(overload.may_accept(case.now_ms), case.may_accept, "{}", case.name);
    }
}

/// A process that gets its processor time in slices, and a queue of its runtime that is worked
/// off while it runs.
struct SlicedProcess {
    period_us: u64,
    run_us: u64,
    /// Processor time used so far.
    used_us: u64,
}

impl SlicedProcess {
    /// Time since the start. The process runs.
    fn now_us(&self) -> u64 {
        self.used_us / self.run_us * self.period_us + self.used_us % self.run_us
    }

    /// Sleeps until `at_us`, or until the process runs again after that.
    fn sleep_until(&mut self, at_us: u64) {
        let (periods, rest_us) = (at_us / self.period_us, at_us % self.period_us);
        let slept_us = if rest_us < self.run_us {
            periods * self.run_us + rest_us
        } else {
            (periods + 1) * self.run_us
        };
        self.used_us = self.used_us.max(slept_us);
    }
}

/// Guards against a router that is taken for overloaded because it stands still at times, and
/// against one that is not although it gets several times the work that it can do: load are all
/// shares and periods, with a steady arrival of work that passes the queue of the runtime twice.
#[test]
fn overload_is_judged_by_the_work_that_waits_and_not_by_standstills() {
    struct Case {
        load: f64,
        is_overloaded: bool,
    }
    const HOP_US: f64 = 80.0;
    const TIME_US: u64 = 20_000_000;
    /// Callers wait for their answers, so that the queue is bounded.
    const CALLERS: f64 = 1_000.0;
    let cases = [
        Case { load: 0.0, is_overloaded: false },
        Case { load: 0.5, is_overloaded: false },
        Case { load: 3.0, is_overloaded: true },
    ];
    for case in &cases {
        for (share, period_ms) in [0.06, 0.12, 0.25, 0.5]
            .into_iter()
            .flat_map(|share| [20u64, 50, 100, 200].map(|period_ms| (share, period_ms)))
        {
            let period_us = period_ms * 1_000;
            let run_us = (period_us as f64 * share) as u64;
            let mut process = SlicedProcess { period_us, run_us, used_us: 0 };
            let mut overload = OverloadDetector::new((share * 1_000.0) as u32);
            let arrivals_per_us = case.load * share / (2.0 * HOP_US);
            let (mut first_hops, mut second_hops, mut arrived_us) = (0.0f64, 0.0f64, 0);
            let mut round = |process: &mut SlicedProcess| {
                let began_us = process.now_us();
                first_hops += (began_us - arrived_us) as f64 * arrivals_per_us;
                first_hops = first_hops.min(CALLERS - second_hops);
                arrived_us = began_us;
                process.used_us += ((first_hops + second_hops) * HOP_US) as u64;
                (second_hops, first_hops) = (first_hops, 0.0);
                process.now_us() - began_us
            };
            let (mut ticks, mut overloaded) = (0u32, 0u32);
            while process.now_us() < TIME_US {
                let due_us = process.now_us() + 50_000;
                while process.now_us() < due_us {
                    let before_us = process.used_us;
                    round(&mut process);
                    // Without work, the process sleeps until some arrives.
                    if process.used_us < before_us + HOP_US as u64 {
                        process.sleep_until((process.now_us() + 1_000).min(due_us));
                    }
                }
                overload.record_tick(process.now_us() / 1_000);
                while overload.needs_round() {
                    let round_us = round(&mut process);
                    overload.record_round(process.now_us() / 1_000, round_us);
                }
                ticks += 1;
                overloaded += u32::from(overload.is_overloaded());
            }
            let name = format!("share {share}, period {period_ms} ms, load {}", case.load);
            let is_right =
                if case.is_overloaded { 2 * overloaded > ticks } else { overloaded == 0 };
            assert!(is_right, "{name}: overloaded at {overloaded} of {ticks} ticks");
        }
    }
}
