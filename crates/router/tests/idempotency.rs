//! Guards against non-idempotent requests that run twice, and against the outcome
//! `not_run` for a request that ran.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{
    Answer, OTHER_WORKSPACE_KEY, RefusingAddress, RunningSetup, TestSetup, loopback, spawn,
};
use futures::future::join_all;
use http::{Method, StatusCode};
use span_http::Client;
use span_router::settings::Settings;
use span_standin::{
    objects::Faults,
    service::{self, Service},
};

const BOOK: &str = "/svc/booking-desk/book";

async fn booking_service() -> Service {
    let settings = service::Settings { call_ms: 30, ..service::Settings::default() };
    service::bind(loopback(), settings).await.expect("bind failed")
}

async fn book(client: &Client, router: SocketAddr, key: &str, nonce: &str) -> Answer {
    let headers = [("idempotency-key", key), ("x-nonce", nonce)];
    common::call(client, router, Method::POST, BOOK, &headers, "book").await
}

async fn start_setup(booking: &Service) -> RunningSetup {
    TestSetup::new().upstream("booking-desk", booking.address()).start().await
}

async fn second_router(setup: &RunningSetup) -> span_router::Router {
    spawn(&Settings { instance: "r2".into(), ..setup.settings.clone() }).await
}

fn executions(booking: &Service, nonce: &str) -> usize {
    booking.ledger().executions().iter().filter(|row| row.nonce == nonce).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn chosen_key_runs_once_across_routers() {
    let booking = booking_service().await;
    let setup = start_setup(&booking).await;
    let second = second_router(&setup).await;
    let routers = [setup.router.http_address(), second.http_address()];
    let calls = (0..60).map(|number| {
        let key = format!("order-{}", number / 6);
        let (client, router) = (&setup.client, routers[number % 2]);
        async move { (key.clone(), book(client, router, &key, &key).await) }
    });
    let answers = join_all(calls).await;
    for order in 0..10 {
        let key = format!("order-{order}");
        let ran = answers.iter().filter(|(k, a)| *k == key && a.status == StatusCode::OK).count();
        assert_eq!((ran, executions(&booking, &key)), (1, 1), "{key}");
    }
    for (key, answer) in &answers {
        let outcome = answer.outcome().expect("no outcome");
        assert_ne!(outcome, "not_run", "{key} has run");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn claims_are_batched() {
    let booking = booking_service().await;
    let setup = start_setup(&booking).await;
    let writes = || setup.platform.edit(|store| store.counters.writes);
    // All keys are in one bucket, so that their claims can share a write.
    let in_bucket = |key: &String| span_once::ClaimKey::new(&"shop".into(), key).bucket() == 0;
    let keys: Vec<_> = (0..).map(|n| format!("k{n}")).filter(in_bucket).take(40).collect();
    setup.platform.set_faults(Faults { delay_ms: 20, ..Faults::default() });
    let before = writes();
    let calls = keys.iter().map(|key| book(&setup.client, setup.router.http_address(), key, key));
    for answer in join_all(calls).await {
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    let used = writes() - before;
    assert!(used < 40, "{used} writes for 40 claims and 40 completions");
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_store_answer_is_resolved_by_rereading() {
    let booking = booking_service().await;
    let setup = start_setup(&booking).await;
    setup.platform.set_faults(Faults { lose_write_answers: true, ..Faults::default() });
    let answer = book(&setup.client, setup.router.http_address(), "lost", "lost").await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    let again = book(&setup.client, setup.router.http_address(), "lost", "lost").await;
    assert_eq!(again.status, StatusCode::CONFLICT);
    assert_eq!(again.outcome().as_deref(), Some("completed"));
    assert_eq!(executions(&booking, "lost"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn object_api_outage_blocks_only_chosen_keys() {
    let cases = [
        ("down", Faults { down: true, ..Faults::default() }),
        ("silent", Faults { silent: true, ..Faults::default() }),
        ("slow", Faults { delay_ms: 60_000, ..Faults::default() }),
    ];
    for (name, faults) in cases {
        let booking = booking_service().await;
        let setup = start_setup(&booking).await;
        let router = setup.router.http_address();
        setup.platform.set_faults(faults);
        let chosen = book(&setup.client, router, "order", "chosen").await;
        assert_eq!(chosen.outcome().as_deref(), Some("not_run"), "{name}");
        assert!(!chosen.header("retry-after").is_empty(), "{name}");
        assert_eq!(executions(&booking, "chosen"), 0, "{name}");
        let minted = setup.call(Method::POST, "/v1/keys", &[], "").await.json();
        let minted = minted["key"].as_str().expect("no key in the answer").to_owned();
        let answer = book(&setup.client, router, &minted, "minted").await;
        assert_eq!(answer.status, StatusCode::OK, "{name}");
        let keyless = setup.call(Method::POST, BOOK, &[("x-nonce", "keyless")], "").await;
        assert_eq!(keyless.status, StatusCode::OK, "{name}");
        setup.platform.set_faults(Faults::default());
        let later = book(&setup.client, router, "order", "chosen").await;
        assert_eq!(later.status, StatusCode::OK, "{name}: after the outage");
        assert_eq!(executions(&booking, "chosen"), 1, "{name}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn minted_key_runs_once_for_its_workspace() {
    let booking = booking_service().await;
    let setup = start_setup(&booking).await;
    let second = second_router(&setup).await;
    let router = setup.router.http_address();
    let minted = setup.call(Method::POST, "/v1/keys", &[], "").await;
    assert_eq!(minted.status, StatusCode::CREATED);
    let key = minted.json()["key"].as_str().expect("no key in the answer").to_owned();
    let other = format!("Bearer {OTHER_WORKSPACE_KEY}");
    let headers = [("authorization", other.as_str()), ("idempotency-key", &key)];
    let stolen = setup.call(Method::POST, BOOK, &headers, "").await;
    assert_eq!(stolen.outcome().as_deref(), Some("unknown"));
    // The second router cannot ask the first one before they know each other.
    let elsewhere = book_until_routers_connect(&setup, second.http_address(), &key).await;
    assert_eq!(elsewhere.status, StatusCode::MISDIRECTED_REQUEST);
    assert_eq!(elsewhere.outcome().as_deref(), Some("not_run"));
    let calls = (0..8).map(|_| book(&setup.client, router, &key, "minted"));
    let answers = join_all(calls).await;
    assert_eq!(answers.iter().filter(|answer| answer.status == StatusCode::OK).count(), 1);
    let again = book(&setup.client, router, &key, "minted").await;
    assert_eq!(again.outcome().as_deref(), Some("completed"));
    let elsewhere = book(&setup.client, second.http_address(), &key, "minted").await;
    assert_eq!(elsewhere.outcome().as_deref(), Some("completed"));
    let forged = format!("span:r1.{:x}.ffff", 7);
    let forged = book(&setup.client, router, &forged, "forged").await;
    assert_eq!(forged.outcome().as_deref(), Some("unknown"));
    assert_eq!(executions(&booking, &key), 0, "the key ran at the wrong router");
    assert_eq!((executions(&booking, "minted"), executions(&booking, "forged")), (1, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn key_is_reusable_after_not_run() {
    let refusing = RefusingAddress::bind();
    let mut setup = TestSetup::new().upstream("booking-desk", refusing.address());
    // The router blocks an upstream that refuses connections, and requests then
    // wait until their deadline.
    setup.deadline_ms = 200;
    let setup = setup.start().await;
    let router = setup.router.http_address();
    let minted = setup.call(Method::POST, "/v1/keys", &[], "").await.json();
    let minted = minted["key"].as_str().expect("no key in the answer").to_owned();
    for key in [minted.as_str(), "chosen"] {
        for _ in 0..3 {
            let answer = book(&setup.client, router, key, "n").await;
            assert_eq!(answer.outcome().as_deref(), Some("not_run"), "{key}: {answer:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn key_is_not_rerun_after_restart() {
    let booking = booking_service().await;
    let setup = start_setup(&booking).await;
    let first = setup.router.http_address();
    assert_eq!(book(&setup.client, first, "order", "order").await.status, StatusCode::OK);
    tokio::time::sleep(Duration::from_millis(1)).await;
    let restarted = spawn(&setup.settings).await;
    let again = book(&setup.client, restarted.http_address(), "order", "order").await;
    assert_eq!(again.status, StatusCode::CONFLICT, "{again:?}");
    assert_eq!(executions(&booking, "order"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn abandoned_request_does_not_free_its_key() {
    let booking = booking_service().await;
    let setup = start_setup(&booking).await;
    let router = setup.router.http_address();
    let call = book(&setup.client, router, "left", "left");
    tokio::select! {
        _ = call => panic!("the call completed"),
        () = common::wait_until(|| executions(&booking, "left") == 1) => {}
    }
    common::wait_until(|| setup.router.in_flight().is_empty()).await;
    let again = book(&setup.client, router, "left", "left").await;
    assert_eq!(again.outcome().as_deref(), Some("unknown"));
    assert_eq!(executions(&booking, "left"), 1);
}

/// Repeats a call until the routers know each other. Before that, one cannot ask
/// the other, and the outcome is unknown.
async fn book_until_routers_connect(setup: &RunningSetup, router: SocketAddr, key: &str) -> Answer {
    for _ in 0..500 {
        let answer = book(&setup.client, router, key, key).await;
        if answer.outcome().as_deref() != Some("unknown") {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the routers did not connect to each other");
}

#[tokio::test(flavor = "multi_thread")]
async fn claim_without_run_is_taken_over() {
    let settings = service::Settings { call_ms: 2_000, ..service::Settings::default() };
    let booking = service::bind(loopback(), settings).await.expect("bind failed");
    let setup = TestSetup { deadline_ms: 500, max_concurrency: 1, ..TestSetup::new() };
    let setup = setup.upstream("booking-desk", booking.address()).start().await;
    let second = second_router(&setup).await;
    // Takes the only slot, so that the next request waits until its deadline.
    let (client, first) = (setup.client.clone(), setup.router.http_address());
    let occupant = tokio::spawn(async move { book(&client, first, "occupant", "occupant").await });
    common::wait_until(|| executions(&booking, "occupant") == 1).await;
    let (client, first) = (setup.client.clone(), setup.router.http_address());
    let call = tokio::spawn(async move { book(&client, first, "moved", "moved").await });
    let key = span_once::ClaimKey::new(&"shop".into(), "moved");
    let claimed = || {
        setup.platform.edit(|store| {
            let bucket = store.get(&format!("claims/{:02x}", key.bucket()));
            bucket.is_some_and(|bucket| {
                String::from_utf8_lossy(&bucket.value).contains(&key.to_string())
            })
        })
    };
    common::wait_until(claimed).await;
    // The outage loses the release of the claim.
    setup.platform.set_faults(Faults { down: true, ..Faults::default() });
    let answer = call.await.expect("the task failed");
    assert_eq!(answer.outcome().as_deref(), Some("not_run"));
    setup.platform.set_faults(Faults::default());
    occupant.await.expect("the task failed");
    let mut answer = book_until_routers_connect(&setup, second.http_address(), "moved").await;
    while answer.outcome().as_deref() == Some("not_run") {
        answer = book_until_routers_connect(&setup, second.http_address(), "moved").await;
    }
    assert_eq!(answer.outcome().as_deref(), Some("completed"), "{answer:?}");
    assert_eq!(executions(&booking, "moved"), 1);
}
