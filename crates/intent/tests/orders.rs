//! Orders, leases and claims, also when the holder of the lease is paused and another
//! process acquires the lease.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use serde_json::json;
use span_intent::{
    IntentError,
    message::{OrderKind, OrderRequest},
    order::{
        AcquireDecision, ClaimDecision, ClaimState, Claims, LEASE_DURATION_MS, LEASE_KEY, Lease,
        LoadRate, OrderExecutor, OrderTarget, decide_acquire, is_held,
    },
};
use span_platform::PlatformClient;
use span_standin::{
    engine::{self, Engine, Settings},
    objects::Faults,
};
use support::{Fleet, ROOT_KEY, loopback};
use tokio::io::AsyncWriteExt;

const NOW_MS: u64 = 1_000_000;
const NO_LOADS: LoadRate = LoadRate { per_minute: 0 };

fn lease(holder: &str, fencing: u64, expires_ms: u64) -> Lease {
    Lease { holder: holder.to_owned(), fencing, expires_ms, loads_until_ms: 0 }
}

/// Guards against two holders at the same time, reused fencing numbers, and a lease
/// from a wrong clock that blocks orders forever.
#[test]
fn lease_has_one_holder_and_increasing_fencing_numbers() {
    let mine = lease("a", 7, NOW_MS + LEASE_DURATION_MS);
    let cases = [
        ("no lease", None, Some(1)),
        ("own lease", Some(lease("a", 4, NOW_MS + 10)), Some(5)),
        ("held by another", Some(lease("b", 4, NOW_MS + 10)), None),
        ("expired", Some(lease("b", 4, NOW_MS)), Some(5)),
        ("released", Some(lease("b", 4, NOW_MS + 10).released()), Some(5)),
        (
            "expiry too far in the future",
            Some(lease("b", 4, NOW_MS + 100 * LEASE_DURATION_MS)),
            Some(5),
        ),
    ];
    for (name, stored, fencing) in cases {
        let acquired = match decide_acquire(stored.as_ref(), "a", NOW_MS, None) {
            AcquireDecision::Grant(lease) => Some(lease.fencing),
            _ => None,
        };
        assert_eq!(acquired, fencing, "{name}");
    }
    assert!(is_held(Some(&mine), &mine, NOW_MS));
    assert!(!is_held(Some(&mine), &mine, NOW_MS + LEASE_DURATION_MS), "paused until it expired");
    assert!(
        !is_held(Some(&lease("b", 8, NOW_MS + LEASE_DURATION_MS)), &mine, NOW_MS),
        "acquired by another process"
    );
    assert!(!is_held(None, &mine, NOW_MS), "object deleted");
}

/// Guards against a rate of loads that exceeds the limit across all holders.
#[test]
fn loads_of_all_holders_stay_below_the_limit() {
    let rate = Some(LoadRate { per_minute: 6 });
    let mut stored: Option<Lease> = None;
    let mut started = 0;
    for second in 0..120u64 {
        let holder = format!("holder-{}", second % 6);
        if let AcquireDecision::Grant(lease) =
            decide_acquire(stored.as_ref(), &holder, NOW_MS + second * 1000, rate)
        {
            started += 1;
            stored = Some(lease.released());
        }
    }
    assert_eq!(started, 13, "two at once, then one in 10 s");
    assert!(matches!(
        decide_acquire(stored.as_ref(), "a", NOW_MS, Some(NO_LOADS)),
        AcquireDecision::RateLimited { .. }
    ));
    assert!(matches!(
        decide_acquire(stored.as_ref(), "a", NOW_MS, None),
        AcquireDecision::Grant(_)
    ));
}

/// Guards against an order that two claimants may send.
#[test]
fn order_has_at_most_one_open_claim() {
    let ClaimDecision::Claim(first) = Claims::default().try_claim("x", 1) else { panic!() };
    assert!(first.is_open("x", 1));
    let ClaimDecision::Unresolved(withdrawn) = first.try_claim("x", 2) else { panic!() };
    assert!(!withdrawn.is_open("x", 1));
    let ClaimDecision::Claim(other) = first.try_claim("y", 2) else { panic!() };
    assert!(!other.is_open("x", 1) && other.is_open("y", 2));
    let done = first.close("x", 1, ClaimState::Done).unwrap();
    assert_eq!(done.try_claim("x", 2), ClaimDecision::Done { fencing: 1 });
    let not_run = first.close("x", 1, ClaimState::NotRun).unwrap();
    assert!(matches!(not_run.try_claim("x", 2), ClaimDecision::Claim(_)));
}

struct TestSite {
    fleet: Fleet,
    engine: Engine,
    target: OrderTarget,
}

impl TestSite {
    async fn start(settings: Settings) -> Self {
        let checks_fencing = settings.checks_fencing;
        let engine = engine::bind(loopback(), settings).await.unwrap();
        let fleet = Fleet::start(2).await;
        let address = engine.address();
        fleet
            .plan_and_confirm(&format!(
                "services:\n  - {{name: chat, kind: model, models: [m]}}\nupstreams:\n  - {{name: e, \
                 service: chat, address: \"{address}\", failure_domain: a, max_concurrency: 1, \
                 checks_fencing: {checks_fencing}}}\n"
            ))
            .await;
        Self {
            fleet,
            engine,
            target: OrderTarget { upstream: "e".into(), address, checks_fencing },
        }
    }

    fn executor(&self, holder: &str) -> OrderExecutor {
        let settings = span_platform::Settings::new(self.fleet.platform.address());
        OrderExecutor {
            platform: PlatformClient::new(settings),
            client: span_http::pooled_client(Duration::from_secs(1)),
            holder: holder.to_owned(),
            load_rate: NO_LOADS,
            timeout: Duration::from_millis(300),
        }
    }

    /// Ids of the orders that the engine executed. Orders with an old fencing number are
    /// marked as stale.
    fn executed_orders(&self) -> Vec<String> {
        let rows = self.engine.orders().executed().into_iter();
        rows.map(|row| format!("{}{}", row.order.id, if row.stale { " stale" } else { "" }))
            .collect()
    }
}

fn order_request(id: &str) -> OrderRequest {
    OrderRequest {
        id: id.to_owned(),
        upstream: "e".into(),
        kind: OrderKind::ChangeRole,
        target: "prefill".to_owned(),
    }
}

async fn acquire_and_claim(
    executor: &OrderExecutor,
    target: &OrderTarget,
    id: &str,
    now_ms: u64,
) -> Lease {
    let lease = executor.acquire(OrderKind::ChangeRole, now_ms).await.unwrap();
    if !target.checks_fencing {
        assert_eq!(executor.claim(&lease, target, id).await.unwrap(), None);
    }
    lease
}

/// Guards against a holder that is paused, loses the lease to another process and still
/// sends its order. Covers engines with and without a check of fencing numbers.
#[tokio::test]
async fn paused_holder_does_not_send_after_losing_the_lease() {
    for checks_fencing in [true, false] {
        let site = TestSite::start(Settings { checks_fencing, ..Settings::default() }).await;
        let (paused, active) = (site.executor("paused"), site.executor("active"));
        let old_lease = acquire_and_claim(&paused, &site.target, "old", NOW_MS).await;
        let later_ms = NOW_MS + LEASE_DURATION_MS;
        let new_lease = acquire_and_claim(&active, &site.target, "new", later_ms).await;
        active.verify(&new_lease, &site.target, "new", later_ms).await.unwrap();
        active.send(&new_lease, &site.target, &order_request("new")).await.unwrap();
        // The first case is a clock that stood still during the pause.
        for now_ms in [NOW_MS, later_ms] {
            let result = paused.verify(&old_lease, &site.target, "old", now_ms).await;
            assert!(matches!(result, Err(IntentError::OrderNotRun(_))), "{checks_fencing}");
        }
        assert_eq!(site.executed_orders(), ["new"]);
    }
}

/// Guards against executing an old order after a newer one at an engine that checks
/// fencing numbers. The holder is paused between verifying the lease and sending.
#[tokio::test]
async fn engine_rejects_the_order_of_a_holder_paused_before_sending() {
    let site = TestSite::start(Settings { checks_fencing: true, ..Settings::default() }).await;
    let (paused, active) = (site.executor("paused"), site.executor("active"));
    let old_lease = acquire_and_claim(&paused, &site.target, "old", NOW_MS).await;
    paused.verify(&old_lease, &site.target, "old", NOW_MS).await.unwrap();
    let new_lease =
        acquire_and_claim(&active, &site.target, "new", NOW_MS + LEASE_DURATION_MS).await;
    active.send(&new_lease, &site.target, &order_request("new")).await.unwrap();
    let result = paused.send(&old_lease, &site.target, &order_request("old")).await;
    assert!(matches!(result, Err(IntentError::OrderNotRun(_))));
    assert_eq!(site.executed_orders(), ["new"]);
}

/// Guards against executing an order twice at an engine that does not check fencing
/// numbers. The first claimant is paused while a second holder claims the same order.
#[tokio::test]
async fn order_with_an_open_claim_is_not_sent_by_another_holder() {
    let site = TestSite::start(Settings::default()).await;
    let (paused, active) = (site.executor("paused"), site.executor("active"));
    let old_lease = acquire_and_claim(&paused, &site.target, "x", NOW_MS).await;
    paused.verify(&old_lease, &site.target, "x", NOW_MS).await.unwrap();
    let new_lease =
        active.acquire(OrderKind::ChangeRole, NOW_MS + LEASE_DURATION_MS).await.unwrap();
    let second_claim = active.claim(&new_lease, &site.target, "x").await;
    assert!(matches!(second_claim, Err(IntentError::OrderOutcomeUnknown(_))));
    paused.send(&old_lease, &site.target, &order_request("x")).await.unwrap();
    assert_eq!(site.executed_orders(), ["x"]);
}

/// Guards against executing an order again when its request is repeated, and against
/// reporting a failure when only the response of the engine was lost.
#[tokio::test]
async fn repeated_requests_execute_an_order_once() {
    for (checks_fencing, lose_order_answers) in
        [(true, false), (false, false), (true, true), (false, true)]
    {
        let settings = Settings { checks_fencing, lose_order_answers, ..Settings::default() };
        let site = TestSite::start(settings).await;
        let body = json!(order_request("x"));
        for (n, repeated) in [(0, false), (1, true), (0, true)] {
            let (status, response) = site.fleet.post(n, "/v1/orders", &body).await;
            assert_eq!(status.as_u16(), 200, "{response}");
            assert_eq!(response["repeated"], repeated);
        }
        assert_eq!(site.executed_orders(), ["x"]);
    }
}

/// Guards against loads above the limit, and against orders that cannot run and are
/// reported without the right status.
#[tokio::test]
async fn orders_that_cannot_run_are_rejected_with_a_reason() {
    let site = TestSite::start(Settings::default()).await;
    let load = |id: &str| json!({ "id": id, "upstream": "e", "kind": "load_model", "target": "m" });
    assert_eq!(site.fleet.post(0, "/v1/orders", &load("a")).await.0, 200);
    assert_eq!(site.fleet.post(1, "/v1/orders", &load("b")).await.0, 200);
    let (status, response) = site.fleet.post(0, "/v1/orders", &load("c")).await;
    assert_eq!((status.as_u16(), &response["error"]["accepted"]), (429, &json!(false)));
    let mut unknown = load("d");
    unknown["upstream"] = json!("nobody");
    assert_eq!(site.fleet.post(0, "/v1/orders", &unknown).await.0, 400);
    assert_eq!(site.executed_orders(), ["a", "b"]);
    site.engine.abort();
    let (status, response) = site.fleet.post(0, "/v1/orders", &json!(order_request("e"))).await;
    assert_eq!((status.as_u16(), &response["error"]["type"]), (409, &json!("not_run")));
}

/// Guards against a planned stop that ends the process between the claim of an order and its
/// end, because the caller that sent the order has left.
#[tokio::test]
async fn order_of_a_caller_that_left_ends_before_the_process() {
    let mut site = TestSite::start(Settings::default()).await;
    site.fleet.platform.set_faults(Faults { delay_ms: 100, ..Faults::default() });
    let handle = site.fleet.intents[0].take().unwrap();
    let body = json!(order_request("x")).to_string();
    let head = format!(
        "POST /v1/orders HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {ROOT_KEY}\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    let mut caller = tokio::net::TcpStream::connect(handle.address()).await.unwrap();
    caller.write_all((head + &body).as_bytes()).await.unwrap();
    while site.fleet.platform.edit(|store| store.get(LEASE_KEY).is_none()) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(caller);
    handle.shutdown().await;
    assert_eq!(site.executed_orders(), ["x"]);
    let lease = site.fleet.platform.edit(|store| store.get(LEASE_KEY).unwrap().value.clone());
    let lease: Lease = serde_json::from_slice(&lease).unwrap();
    assert_eq!(lease, lease.released(), "the lease is held");
}
