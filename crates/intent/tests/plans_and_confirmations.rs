//! Plans, confirmations and status through several intent instances, also with faults
//! of the platform.
#![allow(clippy::unwrap_used)]

mod support;

use http::Method;
use serde_json::json;
use span_standin::objects::Faults;
use support::{Fleet, ROOT_KEY, settings, workspace};

/// Guards against a plan that can only be confirmed by the instance that made it.
#[tokio::test]
async fn plan_is_confirmed_by_another_instance() {
    let mut fleet = Fleet::start(2).await;
    let id = fleet.create_plan(0, &workspace("a", 1)).await;
    fleet.stop(0);
    let (status, response) = fleet.confirm(1, &id).await;
    assert_eq!((status.as_u16(), &response["repeated"]), (200, &json!(false)));
    assert_eq!(fleet.stored()["workspaces"]["a"]["share"], 1);
}

/// Guards against a repeated confirmation that changes the configuration again. The
/// repetition goes to the same or another instance, also after later changes.
#[tokio::test]
async fn repeated_confirmation_has_no_further_effect() {
    let fleet = Fleet::start(2).await;
    let id = fleet.create_plan(0, &workspace("a", 1)).await;
    let (_, first) = fleet.confirm(0, &id).await;
    let (_, second) = fleet.confirm(1, &id).await;
    assert_eq!((&second["revision"], &second["repeated"]), (&first["revision"], &json!(true)));
    fleet.plan_and_confirm(&workspace("a", 2)).await;
    let (_, third) = fleet.confirm(1, &id).await;
    assert_eq!(third["revision"], first["revision"]);
    assert_eq!(fleet.stored()["workspaces"]["a"]["share"], 2);
}

/// Guards against confirming two conflicting plans that are based on the same
/// revision.
#[tokio::test]
async fn only_one_of_several_conflicting_plans_is_confirmed() {
    const OPERATORS: usize = 8;
    let fleet = Fleet::start(4).await;
    fleet.plan_and_confirm(&workspace("a", 100)).await;
    let mut ids = Vec::new();
    for n in 0..OPERATORS {
        ids.push(fleet.create_plan(n % 4, &workspace("a", 1 + n as u32)).await);
    }
    let confirms = ids.iter().enumerate().map(|(n, id)| fleet.confirm(n % 4, id));
    let results = futures::future::join_all(confirms).await;
    let confirmed: Vec<usize> = (0..OPERATORS).filter(|n| results[*n].0 == 200).collect();
    assert_eq!(confirmed.len(), 1);
    assert_eq!(fleet.stored()["workspaces"]["a"]["share"], json!(1 + confirmed[0]));
    for (status, response) in results.iter().filter(|(status, _)| *status != 200) {
        assert_eq!(status.as_u16(), 409);
        assert_eq!(response["error"]["type"], "stale");
        assert_eq!(response["error"]["since"][0]["plan"], json!(ids[confirmed[0]]));
    }
}

/// Guards against a plan that is written twice or rejected when it is confirmed at all
/// instances concurrently.
#[tokio::test]
async fn concurrent_confirmations_of_one_plan_have_one_effect() {
    let fleet = Fleet::start(4).await;
    let id = fleet.create_plan(0, &workspace("a", 1)).await;
    let results = futures::future::join_all((0..4).map(|n| fleet.confirm(n, &id))).await;
    let revisions: Vec<_> = results.iter().map(|(_, response)| &response["revision"]).collect();
    assert!(results.iter().all(|(status, _)| *status == 200), "{results:?}");
    assert!(revisions.iter().all(|revision| *revision == revisions[0]));
    assert_eq!(fleet.stored()["history"].as_array().unwrap().len(), 1);
}

/// Guards against a write that is reported as failed or repeated because the response
/// of the object API was lost.
#[tokio::test]
async fn writes_with_lost_responses_are_resolved() {
    let fleet = Fleet::start(1).await;
    fleet.platform.set_faults(Faults { lose_write_answers: true, ..Faults::default() });
    let id = fleet.create_plan(0, &workspace("a", 1)).await;
    let (status, response) = fleet.confirm(0, &id).await;
    assert_eq!((status.as_u16(), &response["repeated"]), (200, &json!(false)));
    let stored = fleet.platform.edit(|store| store.get("config/current").unwrap().version);
    assert_eq!(response["revision"], stored);
    // One write for the plan, one for the document.
    assert_eq!(fleet.platform.edit(|store| store.counters.writes), 2);
}

/// Guards against an intent that hangs, is reported as accepted or takes half of its
/// effect while the platform is unavailable.
#[tokio::test]
async fn intents_are_rejected_while_the_platform_is_unavailable() {
    let outages =
        [Faults { down: true, ..Faults::default() }, Faults { silent: true, ..Faults::default() }];
    for outage in outages {
        let fleet = Fleet::start(1).await;
        let id = fleet.create_plan(0, &workspace("a", 1)).await;
        fleet.platform.set_faults(outage);
        let responses = [
            fleet.confirm(0, &id).await,
            fleet.plan(0, &workspace("a", 2)).await,
            fleet.get(0, "/v1/status").await,
        ];
        for (status, response) in responses {
            assert_eq!(status.as_u16(), 503);
            assert_eq!(response["error"]["accepted"], json!(false));
        }
        fleet.platform.set_faults(Faults::default());
        assert_eq!(fleet.confirm(0, &id).await.0, 200);
    }
}

/// Guards against accepting the bootstrap key after operators have been declared, and
/// against accepting keys that belong to no operator.
#[tokio::test]
async fn only_keys_of_declared_operators_are_accepted() {
    let fleet = Fleet::start(1).await;
    assert_eq!(fleet.call(0, Method::GET, "/v1/history", "wrong", vec![]).await.0, 401);
    let hash = span_config::KeyHash::of("ada-key").0;
    let yaml = format!("operators:\n  - {{name: ada, key_sha256: \"{hash}\"}}\n");
    fleet.plan_and_confirm(&yaml).await;
    assert_eq!(fleet.get(0, "/v1/history").await.0, 401, "the bootstrap key");
    let (status, response) = fleet.call(0, Method::GET, "/v1/history", "ada-key", vec![]).await;
    assert_eq!((status.as_u16(), &response["entries"][0]["operator"]), (200, &json!("root")));
}

/// Guards against invalid or oversized requests that are not answered with a reason.
#[tokio::test]
async fn invalid_requests_are_answered_with_a_reason() {
    let fleet = Fleet::start(1).await;
    let unknown_plan = "0".repeat(32);
    let cases: [(&str, Method, String, Vec<u8>); 6] = [
        ("no such path", Method::GET, "/v1/nothing".into(), vec![]),
        ("no such plan", Method::POST, format!("/v1/plans/{unknown_plan}/confirm"), vec![]),
        ("malformed plan id", Method::GET, "/v1/plans/..%2Fx".into(), vec![]),
        ("invalid JSON", Method::POST, "/v1/plans".into(), b"{".to_vec()),
        ("too large", Method::POST, "/v1/plans".into(), vec![b' '; (4 << 20) + 1]),
        (
            "invalid document",
            Method::POST,
            "/v1/plans".into(),
            serde_json::to_vec(
                &json!({ "files": [{ "name": "f.yaml", "text": workspace("a", 0) }] }),
            )
            .unwrap(),
        ),
    ];
    let mut texts = Vec::new();
    for (name, method, path, body) in cases {
        let (status, response) = fleet.call(0, method, &path, ROOT_KEY, body).await;
        texts.push(format!("{name}: {} {response}", status.as_u16()));
    }
    insta::assert_snapshot!(texts.join("\n"));
}

/// Guards against a stored plan that another instance shows differently, and against
/// a lookup that does not show the confirmation.
#[tokio::test]
async fn plans_can_be_read_at_any_instance() {
    let fleet = Fleet::start(2).await;
    let (_, planned) = fleet.plan(0, &workspace("a", 1)).await;
    let path = format!("/v1/plans/{}", planned["plan"]["id"].as_str().unwrap());
    assert_eq!(fleet.get(1, &path).await.1, planned);
    let revision = fleet.plan_and_confirm(&workspace("a", 1)).await;
    assert_eq!(fleet.get(1, &path).await.1["confirmed_as"], json!(revision));
    let (_, unchanged) = fleet.plan(0, &workspace("a", 1)).await;
    assert_eq!(unchanged["plan"]["changes"], json!([]));
}

/// Guards against a status that does not show routers with an old revision or without
/// a response.
#[tokio::test]
async fn status_shows_the_state_of_each_router() {
    let fleet = Fleet::start(1).await;
    let revision = fleet.plan_and_confirm(&workspace("a", 1)).await;
    let router = |revision: Option<u64>| async move {
        let handler = move |_request, _peer| async move {
            match revision {
                Some(revision) => {
                    span_http::json_response(http::StatusCode::OK, &json!({ "revision": revision }))
                }
                None => span_http::json_response(http::StatusCode::NOT_FOUND, &json!({})),
            }
        };
        span_http::serve(support::loopback(), Default::default(), handler).await.unwrap()
    };
    let servers =
        [router(Some(revision)).await, router(Some(revision - 1)).await, router(None).await];
    let mut addresses: Vec<String> = servers.iter().map(|s| s.address().to_string()).collect();
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    addresses.push(closed.to_string());
    for (n, address) in addresses.into_iter().enumerate() {
        let instance = span_standin::objects::Instance {
            name: format!("router-{n}"),
            http_address: address.clone(),
            peer_address: address,
            failure_domain: "a".to_owned(),
            leaving: n == 1,
        };
        fleet.platform.edit(|store| store.put_instance(0, instance));
    }
    let (_, status) = fleet.get(0, "/v1/status").await;
    let states: Vec<&str> = status["routers"]
        .as_array()
        .unwrap()
        .iter()
        .map(|r| r["state"].as_str().unwrap())
        .collect();
    assert_eq!(states, ["in_force", "behind", "no_revision", "unreachable"]);
    assert_eq!(status["routers"][1]["leaving"], true);
}

/// Guards against an export that differs from the accepted document.
#[tokio::test]
async fn plan_from_an_export_has_no_changes() {
    let fleet = Fleet::start(1).await;
    fleet.plan_and_confirm(&workspace("a", 1)).await;
    let (_, exported) = fleet.get(0, "/v1/export").await;
    let (_, plan) = fleet.plan(0, exported["yaml"].as_str().unwrap()).await;
    assert_eq!(plan["plan"]["changes"], json!([]));
}

/// Guards against old plans that accumulate in the object API, and against deleting a
/// plan that is not old enough.
#[tokio::test]
async fn expired_plans_are_deleted() {
    const DAY_MS: u64 = 24 * 3600 * 1000;
    let fleet = Fleet::start(1).await;
    fleet.create_plan(0, &workspace("a", 1)).await;
    let settings = span_platform::Settings::new(fleet.platform.address());
    let platform = span_platform::PlatformClient::new(settings);
    let (_, plan) = fleet.plan(0, &workspace("a", 1)).await;
    let planned_ms = plan["plan"]["planned_at_ms"].as_u64().unwrap();
    assert_eq!(span_intent::sweep(&platform, 0.5, planned_ms + DAY_MS).await.unwrap(), 0);
    assert_eq!(span_intent::sweep(&platform, 0.5, planned_ms + DAY_MS + 1).await.unwrap(), 1);
    assert_eq!(platform.list("plans/").await.unwrap().len(), 0);
}

/// Guards against confirmed plans that are never deleted.
#[tokio::test]
async fn confirmed_plans_are_deleted_with_their_history_entries() {
    const CONFIRMED: usize = span_config::MAX_HISTORY_ENTRIES + 2;
    let fleet = Fleet::start(1).await;
    for n in 0..CONFIRMED {
        fleet.plan_and_confirm(&workspace("a", 1 + n as u32)).await;
    }
    let plans = fleet.platform.edit(|store| store.keys("plans/").len());
    assert_eq!(plans, span_config::MAX_HISTORY_ENTRIES);
}

/// Guards against settings that cannot be read from YAML with only the required
/// fields.
#[test]
fn minimal_settings_are_read_from_yaml() {
    let text =
        "instance: atl-1\nintent_address: 127.0.0.1:7300\nplatform_address: 127.0.0.1:7000\n";
    let read: span_intent::Settings = serde_saphyr::from_str(text).unwrap();
    let defaults = settings("atl-1", "127.0.0.1:7000".parse().unwrap());
    assert_eq!(read.instance, defaults.instance);
    assert_eq!(read.bootstrap_operator, None);
}
