//! Tests of workloads and of the requests generated from them.

use span_load::{
    request_generator::{Idempotency, PlannedRequest, RequestGenerator},
    workload::{Workload, WorkloadSpec, generate},
};

fn spec(seed: u64) -> WorkloadSpec {
    WorkloadSpec {
        seed,
        workspace_count: 16,
        large_workspace_count: 3,
        large_callers: 40,
        small_callers: 6,
        open_per_second: 2.0,
        plain_fraction: 0.3,
        router_count: 6,
        duration_ms: 20_000,
        max_output_tokens: 400,
    }
}

fn planned_requests(workload: &Workload, count: usize) -> Vec<PlannedRequest> {
    let callers = workload.workspaces.iter().map(|ws| RequestGenerator::new(&workload.spec, ws, 0));
    callers.flat_map(|mut generator| (0..count).map(move |_| generator.next_request())).collect()
}

/// Guards against inputs other than the seed: two runs with one seed must offer the
/// same load.
#[test]
fn workload_depends_only_on_the_seed() {
    let (one, two) = (generate(&spec(7)), generate(&spec(7)));
    assert_eq!(one, two);
    assert_eq!(planned_requests(&one, 50), planned_requests(&two, 50));
    assert_ne!(generate(&spec(8)), one);
    assert_ne!(planned_requests(&generate(&spec(8)), 50), planned_requests(&one, 50));
}

/// Guards against duplicate names: answers are matched with ledgers by name.
#[test]
fn request_names_are_unique() {
    let mut names: Vec<String> = planned_requests(&generate(&spec(1)), 200)
        .into_iter()
        .map(|planned| planned.name)
        .collect();
    let count = names.len();
    names.sort();
    names.dedup();
    assert_eq!(names.len(), count);
}

/// Guards against workloads without the kinds of requests that the experiments need.
#[test]
fn requests_have_the_required_variety() {
    let workload = generate(&spec(3));
    let planned_requests = planned_requests(&workload, 500);
    let model: Vec<&PlannedRequest> =
        planned_requests.iter().filter(|planned| !planned.is_plain_call).collect();
    let total: u64 = model.iter().map(|planned| planned.output_tokens).sum();
    let mut tokens: Vec<u64> = model.iter().map(|planned| planned.output_tokens).collect();
    tokens.sort_unstable();
    let top_tenth: u64 = tokens[tokens.len() * 9 / 10..].iter().sum();
    assert!(top_tenth * 10 > total * 3, "the largest tenth carries {top_tenth} of {total}");
    for planned in &planned_requests {
        let cost = (planned.prompt_tokens + planned.output_tokens) as f64;
        let factor = planned.cost_hint.map_or(1.0, |hint| hint as f64 / cost);
        assert!((0.08..=10.01).contains(&factor), "hint factor {factor}");
        assert!(planned.is_plain_call || planned.idempotency == Idempotency::Idempotent);
    }
    for idempotency in
        [Idempotency::Idempotent, Idempotency::Keyed, Idempotency::Minted, Idempotency::Once]
    {
        assert!(
            planned_requests
                .iter()
                .any(|planned| planned.is_plain_call && planned.idempotency == idempotency)
        );
    }
    assert!(planned_requests.iter().any(|planned| planned.resend_after_answer));
    let requests_to_router =
        |router| planned_requests.iter().filter(|planned| planned.router_index == router).count();
    assert!((0..6).all(|router| requests_to_router(router) > 0));
}
