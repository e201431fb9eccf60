//! Orders while holders of the lease are paused and overtaken.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use serde_json::json;
use span_intent::{
    IntentError,
    message::{OrderKind, OrderRequest},
    order::{
        Acquire, ClaimState, Claims, Decision, LEASE_MS, Lease, LoadRate, Orders, Target, acquire,
        holds,
    },
};
use span_platform::PlatformClient;
use span_standin::engine::{self, Engine, Settings};
use support::{Fleet, loopback};

const NOW_MS: u64 = 1_000_000;
const NO_LOADS: LoadRate = LoadRate { per_minute: 0 };

fn lease(holder: &str, fencing: u64, expires_ms: u64) -> Lease {
    Lease { holder: holder.to_owned(), fencing, expires_ms, loads_until_ms: 0 }
}

/// Guards against two holders at a time, reused fencing numbers, and a wrong
/// clock that blocks orders for good.
#[test]
fn leases_are_taken_in_turn() {
    let mine = lease("a", 7, NOW_MS + LEASE_MS);
    let cases = [
        ("first", None, Some(1)),
        ("own", Some(lease("a", 4, NOW_MS + 10)), Some(5)),
        ("held", Some(lease("b", 4, NOW_MS + 10)), None),
        ("expired", Some(lease("b", 4, NOW_MS)), Some(5)),
        ("released", Some(lease("b", 4, NOW_MS + 10).released()), Some(5)),
        ("end not credible", Some(lease("b", 4, NOW_MS + 100 * LEASE_MS)), Some(5)),
    ];
    for (name, stored, fencing) in cases {
        let taken = match acquire(stored.as_ref(), "a", NOW_MS, None) {
            Acquire::Take(lease) => Some(lease.fencing),
            _ => None,
        };
        assert_eq!(taken, fencing, "{name}");
    }
    assert!(holds(Some(&mine), &mine, NOW_MS));
    assert!(!holds(Some(&mine), &mine, NOW_MS + LEASE_MS), "paused past its end");
    assert!(!holds(Some(&lease("b", 8, NOW_MS + LEASE_MS)), &mine, NOW_MS), "overtaken");
    assert!(!holds(None, &mine, NOW_MS), "object gone");
}

/// Guards against more loads than the weight store allows, counted over holders.
#[test]
fn loads_keep_to_the_fleet_wide_rate() {
    let rate = Some(LoadRate { per_minute: 6 });
    let mut stored: Option<Lease> = None;
    let mut started = 0;
    for second in 0..120u64 {
        let holder = format!("holder-{}", second % 6);
        if let Acquire::Take(lease) =
            acquire(stored.as_ref(), &holder, NOW_MS + second * 1000, rate)
        {
            started += 1;
            stored = Some(lease.released());
        }
    }
    assert_eq!(started, 13, "two at once, then one in 10 s");
    assert!(matches!(
        acquire(stored.as_ref(), "a", NOW_MS, Some(NO_LOADS)),
        Acquire::RateLimited { .. }
    ));
    assert!(matches!(acquire(stored.as_ref(), "a", NOW_MS, None), Acquire::Take(_)));
}

/// Guards against an order that is sent by two claimants.
#[test]
fn claims_are_taken_once() {
    let Decision::Claim(first) = Claims::default().claim("x", 1) else { panic!() };
    assert!(first.holds("x", 1));
    let Decision::Unresolved(withdrawn) = first.claim("x", 2) else { panic!() };
    assert!(!withdrawn.holds("x", 1));
    let Decision::Claim(other) = first.claim("y", 2) else { panic!() };
    assert!(!other.holds("x", 1) && other.holds("y", 2));
    let done = first.close("x", 1, ClaimState::Done).unwrap();
    assert_eq!(done.claim("x", 2), Decision::Done { fencing: 1 });
    let not_run = first.close("x", 1, ClaimState::NotRun).unwrap();
    assert!(matches!(not_run.claim("x", 2), Decision::Claim(_)));
}

struct Site {
    fleet: Fleet,
    engine: Engine,
    target: Target,
}

impl Site {
    async fn start(settings: Settings) -> Self {
        let checks_fencing = settings.checks_fencing;
        let engine = engine::bind(loopback(), settings).await.unwrap();
        let fleet = Fleet::start(2).await;
        let address = engine.address();
        fleet
            .accept(&format!(
                "services:\n  - {{name: chat, kind: model, models: [m]}}\nupstreams:\n  - {{name: e, \
                 service: chat, address: \"{address}\", failure_domain: a, max_concurrency: 1, \
                 checks_fencing: {checks_fencing}}}\n"
            ))
            .await;
        Self { fleet, engine, target: Target { upstream: "e".into(), address, checks_fencing } }
    }

    fn orders(&self, holder: &str) -> Orders {
        let settings = span_platform::Settings::new(self.fleet.platform.address());
        Orders {
            platform: PlatformClient::new(settings),
            client: span_http::pooled_client(Duration::from_secs(1)),
            holder: holder.to_owned(),
            load_rate: NO_LOADS,
            timeout: Duration::from_millis(300),
        }
    }

    /// Ids the engine carried out, with the stale ones marked.
    fn carried_out(&self) -> Vec<String> {
        let rows = self.engine.orders().executed().into_iter();
        rows.map(|row| format!("{}{}", row.order.id, if row.stale { " stale" } else { "" }))
            .collect()
    }
}

fn request(id: &str) -> OrderRequest {
    OrderRequest {
        id: id.to_owned(),
        upstream: "e".into(),
        kind: OrderKind::ChangeRole,
        target: "prefill".to_owned(),
    }
}

async fn take(orders: &Orders, target: &Target, id: &str, now_ms: u64) -> Lease {
    let lease = orders.acquire(OrderKind::ChangeRole, now_ms).await.unwrap();
    if !target.checks_fencing {
        assert_eq!(orders.claim(&lease, target, id).await.unwrap(), None);
    }
    lease
}

/// Guards against a holder that was paused before it checked the lease and
/// acts on it after another one took over. Both kinds of engines.
#[tokio::test]
async fn paused_holder_finds_out_before_it_acts() {
    for checks_fencing in [true, false] {
        let site = Site::start(Settings { checks_fencing, ..Settings::default() }).await;
        let (slow, quick) = (site.orders("slow"), site.orders("quick"));
        let old = take(&slow, &site.target, "old", NOW_MS).await;
        let later_ms = NOW_MS + LEASE_MS;
        let new = take(&quick, &site.target, "new", later_ms).await;
        quick.check(&new, &site.target, "new", later_ms).await.unwrap();
        quick.send(&new, &site.target, &request("new")).await.unwrap();
        // A clock that stood still during the pause must not help either.
        for now_ms in [NOW_MS, later_ms] {
            let result = slow.check(&old, &site.target, "old", now_ms).await;
            assert!(matches!(result, Err(IntentError::OrderNotRun(_))), "{checks_fencing}");
        }
        assert_eq!(site.carried_out(), ["new"]);
    }
}

/// Guards against an old order that arrives after a newer one at an engine that
/// checks fencing numbers: the pause falls between the check and the sending.
#[tokio::test]
async fn checking_engine_refuses_the_order_of_a_holder_paused_after_its_check() {
    let site = Site::start(Settings { checks_fencing: true, ..Settings::default() }).await;
    let (slow, quick) = (site.orders("slow"), site.orders("quick"));
    let old = take(&slow, &site.target, "old", NOW_MS).await;
    slow.check(&old, &site.target, "old", NOW_MS).await.unwrap();
    let new = take(&quick, &site.target, "new", NOW_MS + LEASE_MS).await;
    quick.send(&new, &site.target, &request("new")).await.unwrap();
    let result = slow.send(&old, &site.target, &request("old")).await;
    assert!(matches!(result, Err(IntentError::OrderNotRun(_))));
    assert_eq!(site.carried_out(), ["new"]);
}

/// Guards against the same order running twice at an engine that ignores the
/// number, when its first claimant is paused and the order is given again.
#[tokio::test]
async fn claimed_order_is_not_sent_by_a_second_holder() {
    let site = Site::start(Settings::default()).await;
    let (slow, quick) = (site.orders("slow"), site.orders("quick"));
    let old = take(&slow, &site.target, "x", NOW_MS).await;
    slow.check(&old, &site.target, "x", NOW_MS).await.unwrap();
    let new = quick.acquire(OrderKind::ChangeRole, NOW_MS + LEASE_MS).await.unwrap();
    let second = quick.claim(&new, &site.target, "x").await;
    assert!(matches!(second, Err(IntentError::OrderUnknown(_))));
    slow.send(&old, &site.target, &request("x")).await.unwrap();
    assert_eq!(site.carried_out(), ["x"]);
}

/// Guards against an order being repeated through the API, and against a lost
/// answer of the engine being taken for a failure.
#[tokio::test]
async fn orders_through_the_api_run_once() {
    for (checks_fencing, lose_order_answers) in
        [(true, false), (false, false), (true, true), (false, true)]
    {
        let settings = Settings { checks_fencing, lose_order_answers, ..Settings::default() };
        let site = Site::start(settings).await;
        let body = json!(request("x"));
        for (n, repeated) in [(0, false), (1, true), (0, true)] {
            let (status, answer) = site.fleet.post(n, "/v1/orders", &body).await;
            assert_eq!(status.as_u16(), 200, "{answer}");
            assert_eq!(answer["repeated"], repeated);
        }
        assert_eq!(site.carried_out(), ["x"]);
    }
}

/// Guards against loads beyond the rate, and against orders that cannot be
/// carried out being reported as anything else.
#[tokio::test]
async fn orders_that_cannot_run_are_refused_with_a_reason() {
    let site = Site::start(Settings::default()).await;
    let load = |id: &str| json!({ "id": id, "upstream": "e", "kind": "load_model", "target": "m" });
    assert_eq!(site.fleet.post(0, "/v1/orders", &load("a")).await.0, 200);
    assert_eq!(site.fleet.post(1, "/v1/orders", &load("b")).await.0, 200);
    let (status, answer) = site.fleet.post(0, "/v1/orders", &load("c")).await;
    assert_eq!((status.as_u16(), &answer["error"]["accepted"]), (429, &json!(false)));
    let mut unknown = load("d");
    unknown["upstream"] = json!("nobody");
    assert_eq!(site.fleet.post(0, "/v1/orders", &unknown).await.0, 400);
    assert_eq!(site.carried_out(), ["a", "b"]);
    site.engine.abort();
    let (status, answer) = site.fleet.post(0, "/v1/orders", &json!(request("e"))).await;
    assert_eq!((status.as_u16(), &answer["error"]["type"]), (409, &json!("not_run")));
}
