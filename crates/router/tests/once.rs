//! Guards against non-idempotent requests that run twice, and against `not_run`
//! for one that ran.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{Answer, OTHER_KEY, Running, World, any, closed, spawn};
use futures::future::join_all;
use http::{Method, StatusCode};
use span_http::Client;
use span_router::settings::Settings;
use span_standin::{
    objects::Faults,
    service::{self, Service},
};

const BOOK: &str = "/svc/booking-desk/book";

async fn desk() -> Service {
    let settings = service::Settings { call_ms: 30, ..service::Settings::default() };
    service::bind(any(), settings).await.expect("it binds")
}

async fn book(client: &Client, router: SocketAddr, key: &str, nonce: &str) -> Answer {
    let headers = [("idempotency-key", key), ("x-nonce", nonce)];
    common::call(client, router, Method::POST, BOOK, &headers, "book").await
}

async fn world(desk: &Service) -> Running {
    World::new().upstream("booking-desk", desk.address()).start().await
}

async fn second_router(world: &Running) -> span_router::Router {
    spawn(&Settings { instance: "r2".into(), ..world.settings.clone() }).await
}

fn runs(desk: &Service, nonce: &str) -> usize {
    desk.ledger().executions().iter().filter(|row| row.nonce == nonce).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chosen_key_runs_once_at_two_routers() {
    let desk = desk().await;
    let world = world(&desk).await;
    let second = second_router(&world).await;
    let routers = [world.router.http_address(), second.http_address()];
    let calls = (0..60).map(|number| {
        let key = format!("order-{}", number / 6);
        let (client, router) = (&world.client, routers[number % 2]);
        async move { (key.clone(), book(client, router, &key, &key).await) }
    });
    let answers = join_all(calls).await;
    for order in 0..10 {
        let key = format!("order-{order}");
        let ran = answers.iter().filter(|(k, a)| *k == key && a.status == StatusCode::OK).count();
        assert_eq!((ran, runs(&desk, &key)), (1, 1), "{key}");
    }
    for (key, answer) in &answers {
        let outcome = answer.outcome().expect("there is one");
        assert_ne!(outcome, "not_run", "{key} has run or is running");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn many_claims_share_a_write() {
    let desk = desk().await;
    let world = world(&desk).await;
    let writes = || world.platform.edit(|store| store.counters.writes);
    // All keys of one bucket, so that they can meet in one write.
    let in_bucket = |key: &String| span_once::ClaimKey::new(&"shop".into(), key).bucket() == 0;
    let keys: Vec<_> = (0..).map(|n| format!("k{n}")).filter(in_bucket).take(40).collect();
    world.platform.set_faults(Faults { delay_ms: 20, ..Faults::default() });
    let before = writes();
    let calls = keys.iter().map(|key| book(&world.client, world.router.http_address(), key, key));
    for answer in join_all(calls).await {
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    let used = writes() - before;
    assert!(used < 40, "{used} writes for 40 claims and 40 completions");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_of_the_object_api_is_resolved_by_reading_back() {
    let desk = desk().await;
    let world = world(&desk).await;
    world.platform.set_faults(Faults { lose_write_answers: true, ..Faults::default() });
    let answer = book(&world.client, world.router.http_address(), "lost", "lost").await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    let again = book(&world.client, world.router.http_address(), "lost", "lost").await;
    assert_eq!(again.status, StatusCode::CONFLICT);
    assert_eq!(again.outcome().as_deref(), Some("completed"));
    assert_eq!(runs(&desk, "lost"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_object_api_chosen_keys_do_not_run_and_minted_ones_do() {
    let cases = [
        ("down", Faults { down: true, ..Faults::default() }),
        ("silent", Faults { silent: true, ..Faults::default() }),
        ("slow", Faults { delay_ms: 60_000, ..Faults::default() }),
    ];
    for (name, faults) in cases {
        let desk = desk().await;
        let world = world(&desk).await;
        let router = world.router.http_address();
        world.platform.set_faults(faults);
        let chosen = book(&world.client, router, "order", "chosen").await;
        assert_eq!(chosen.outcome().as_deref(), Some("not_run"), "{name}");
        assert!(!chosen.header("retry-after").is_empty(), "{name}");
        assert_eq!(runs(&desk, "chosen"), 0, "{name}");
        let minted = world.call(Method::POST, "/v1/keys", &[], "").await.json();
        let minted = minted["key"].as_str().expect("it is a key").to_owned();
        let answer = book(&world.client, router, &minted, "minted").await;
        assert_eq!(answer.status, StatusCode::OK, "{name}");
        let keyless = world.call(Method::POST, BOOK, &[("x-nonce", "keyless")], "").await;
        assert_eq!(keyless.status, StatusCode::OK, "{name}");
        world.platform.set_faults(Faults::default());
        let later = book(&world.client, router, "order", "chosen").await;
        assert_eq!(later.status, StatusCode::OK, "{name}: it may run now");
        assert_eq!(runs(&desk, "chosen"), 1, "{name}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_minted_key_runs_once_and_only_for_its_workspace() {
    let desk = desk().await;
    let world = world(&desk).await;
    let second = second_router(&world).await;
    let router = world.router.http_address();
    let minted = world.call(Method::POST, "/v1/keys", &[], "").await;
    assert_eq!(minted.status, StatusCode::CREATED);
    let key = minted.json()["key"].as_str().expect("it is a key").to_owned();
    let other = format!("Bearer {OTHER_KEY}");
    let headers = [("authorization", other.as_str()), ("idempotency-key", &key)];
    let stolen = world.call(Method::POST, BOOK, &headers, "").await;
    assert_eq!(stolen.outcome().as_deref(), Some("unknown"));
    // Until the routers know each other, the second one cannot ask the first.
    let elsewhere = book_once_known(&world, second.http_address(), &key).await;
    assert_eq!(elsewhere.status, StatusCode::MISDIRECTED_REQUEST);
    assert_eq!(elsewhere.outcome().as_deref(), Some("not_run"));
    let calls = (0..8).map(|_| book(&world.client, router, &key, "minted"));
    let answers = join_all(calls).await;
    assert_eq!(answers.iter().filter(|answer| answer.status == StatusCode::OK).count(), 1);
    let again = book(&world.client, router, &key, "minted").await;
    assert_eq!(again.outcome().as_deref(), Some("completed"));
    let elsewhere = book(&world.client, second.http_address(), &key, "minted").await;
    assert_eq!(elsewhere.outcome().as_deref(), Some("completed"));
    let forged = format!("span:r1.{:x}.ffff", 7);
    let forged = book(&world.client, router, &forged, "forged").await;
    assert_eq!(forged.outcome().as_deref(), Some("unknown"));
    assert_eq!(runs(&desk, &key), 0, "it did not run elsewhere");
    assert_eq!((runs(&desk, "minted"), runs(&desk, "forged")), (1, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_whose_request_did_not_run_may_be_used_again() {
    let mut world = World::new().upstream("booking-desk", closed());
    // The router stops using an upstream that refuses connections, and requests
    // wait for it until their deadline.
    world.deadline_ms = 200;
    let world = world.start().await;
    let router = world.router.http_address();
    let minted = world.call(Method::POST, "/v1/keys", &[], "").await.json();
    let minted = minted["key"].as_str().expect("it is a key").to_owned();
    for key in [minted.as_str(), "chosen"] {
        for _ in 0..3 {
            let answer = book(&world.client, router, key, "n").await;
            assert_eq!(answer.outcome().as_deref(), Some("not_run"), "{key}: {answer:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_router_does_not_run_a_key_again() {
    let desk = desk().await;
    let world = world(&desk).await;
    let first = world.router.http_address();
    assert_eq!(book(&world.client, first, "order", "order").await.status, StatusCode::OK);
    tokio::time::sleep(Duration::from_millis(1)).await;
    let restarted = spawn(&world.settings).await;
    let again = book(&world.client, restarted.http_address(), "order", "order").await;
    assert_eq!(again.status, StatusCode::CONFLICT, "{again:?}");
    assert_eq!(runs(&desk, "order"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_frees_no_key_that_may_have_run() {
    let desk = desk().await;
    let world = world(&desk).await;
    let router = world.router.http_address();
    let call = book(&world.client, router, "left", "left");
    tokio::select! {
        _ = call => panic!("the call takes longer"),
        () = common::until(|| runs(&desk, "left") == 1) => {}
    }
    common::until(|| world.router.in_flight().is_empty()).await;
    let again = book(&world.client, router, "left", "left").await;
    assert_eq!(again.outcome().as_deref(), Some("unknown"));
    assert_eq!(runs(&desk, "left"), 1);
}

/// Repeats a call until the routers know each other; before, one cannot ask the
/// other, and the outcome is unknown.
async fn book_once_known(world: &Running, router: SocketAddr, key: &str) -> Answer {
    for _ in 0..500 {
        let answer = book(&world.client, router, key, key).await;
        if answer.outcome().as_deref() != Some("unknown") {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the routers do not find each other");
}

#[tokio::test(flavor = "multi_thread")]
async fn another_router_takes_over_a_claim_that_did_not_run() {
    let settings = service::Settings { call_ms: 2_000, ..service::Settings::default() };
    let desk = service::bind(any(), settings).await.expect("it binds");
    let world = World { deadline_ms: 500, max_concurrency: 1, ..World::new() };
    let world = world.upstream("booking-desk", desk.address()).start().await;
    let second = second_router(&world).await;
    // Takes the only slot, so that the next request waits until its deadline.
    let (client, first) = (world.client.clone(), world.router.http_address());
    let occupant = tokio::spawn(async move { book(&client, first, "occupant", "occupant").await });
    common::until(|| runs(&desk, "occupant") == 1).await;
    let (client, first) = (world.client.clone(), world.router.http_address());
    let call = tokio::spawn(async move { book(&client, first, "moved", "moved").await });
    let key = span_once::ClaimKey::new(&"shop".into(), "moved");
    let claimed = || {
        world.platform.edit(|store| {
            let bucket = store.get(&format!("claims/{:02x}", key.bucket()));
            bucket.is_some_and(|bucket| {
                String::from_utf8_lossy(&bucket.value).contains(&key.to_string())
            })
        })
    };
    common::until(claimed).await;
    // The release of the claim is lost.
    world.platform.set_faults(Faults { down: true, ..Faults::default() });
    let answer = call.await.expect("it ends");
    assert_eq!(answer.outcome().as_deref(), Some("not_run"));
    world.platform.set_faults(Faults::default());
    occupant.await.expect("it ends");
    let mut answer = book_once_known(&world, second.http_address(), "moved").await;
    while answer.outcome().as_deref() == Some("not_run") {
        answer = book_once_known(&world, second.http_address(), "moved").await;
    }
    assert_eq!(answer.outcome().as_deref(), Some("completed"), "{answer:?}");
    assert_eq!(runs(&desk, "moved"), 1);
}
