//! Workloads as functions of their seed.

use span_load::{
    plan::{Planned, Planner, Repeat},
    workload::{Spec, Workload, generate},
};

fn spec(seed: u64) -> Spec {
    Spec {
        seed,
        workspaces: 16,
        large: 3,
        large_callers: 40,
        small_callers: 6,
        open_per_second: 2.0,
        plain_fraction: 0.3,
        routers: 6,
        duration_ms: 20_000,
        max_output_tokens: 400,
    }
}

fn plans(workload: &Workload, count: usize) -> Vec<Planned> {
    let callers = workload.workspaces.iter().map(|ws| Planner::new(&workload.spec, ws, 0));
    callers.flat_map(|mut planner| (0..count).map(move |_| planner.plan())).collect()
}

/// Guards against hidden inputs: two runs of one seed must offer the same load.
#[test]
fn same_seed_same_workload() {
    let (one, two) = (generate(&spec(7)), generate(&spec(7)));
    assert_eq!(one, two);
    assert_eq!(plans(&one, 50), plans(&two, 50));
    assert_ne!(generate(&spec(8)), one);
    assert_ne!(plans(&generate(&spec(8)), 50), plans(&one, 50));
}

/// Guards against names that repeat: answers and ledgers are matched by name.
#[test]
fn names_are_unique() {
    let mut names: Vec<String> =
        plans(&generate(&spec(1)), 200).into_iter().map(|planned| planned.name).collect();
    let count = names.len();
    names.sort();
    names.dedup();
    assert_eq!(names.len(), count);
}

/// Guards against workloads that lack what an experiment relies on.
#[test]
fn plans_have_the_required_variety() {
    let workload = generate(&spec(3));
    let plans = plans(&workload, 500);
    let model: Vec<&Planned> = plans.iter().filter(|planned| !planned.plain).collect();
    let total: u64 = model.iter().map(|planned| planned.output_tokens).sum();
    let mut tokens: Vec<u64> = model.iter().map(|planned| planned.output_tokens).collect();
    tokens.sort_unstable();
    let top_tenth: u64 = tokens[tokens.len() * 9 / 10..].iter().sum();
    assert!(top_tenth * 10 > total * 3, "the largest tenth carries {top_tenth} of {total}");
    for planned in &plans {
        let cost = (planned.prompt_tokens + planned.output_tokens) as f64;
        let factor = planned.cost_hint.map_or(1.0, |hint| hint as f64 / cost);
        assert!((0.08..=10.01).contains(&factor), "hint factor {factor}");
        assert!(planned.plain || planned.repeat == Repeat::Idempotent);
    }
    for repeat in [Repeat::Idempotent, Repeat::Keyed, Repeat::Once] {
        assert!(plans.iter().any(|planned| planned.plain && planned.repeat == repeat));
    }
    assert!(plans.iter().any(|planned| planned.resend));
    let entries = |router| plans.iter().filter(|planned| planned.entry == router).count();
    assert!((0..6).all(|router| entries(router) > 0));
}
