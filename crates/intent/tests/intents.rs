//! Planning and confirming through several instances, under faults.
#![allow(clippy::unwrap_used)]

mod support;

use http::Method;
use serde_json::json;
use span_standin::objects::Faults;
use support::{Fleet, ROOT_KEY, settings, workspace};

/// Guards against a plan that only the instance that made it can confirm.
#[tokio::test]
async fn another_instance_confirms_after_the_planner_died() {
    let mut fleet = Fleet::start(2).await;
    let id = fleet.planned(0, &workspace("a", 1)).await;
    fleet.stop(0);
    let (status, answer) = fleet.confirm(1, &id).await;
    assert_eq!((status.as_u16(), &answer["repeated"]), (200, &json!(false)));
    assert_eq!(fleet.stored()["workspaces"]["a"]["share"], 1);
}

/// Guards against a second effect of a confirmation that is repeated, at the
/// same or another instance, also after later changes.
#[tokio::test]
async fn confirming_twice_has_one_effect() {
    let fleet = Fleet::start(2).await;
    let id = fleet.planned(0, &workspace("a", 1)).await;
    let (_, first) = fleet.confirm(0, &id).await;
    let (_, second) = fleet.confirm(1, &id).await;
    assert_eq!((&second["revision"], &second["repeated"]), (&first["revision"], &json!(true)));
    fleet.accept(&workspace("a", 2)).await;
    let (_, third) = fleet.confirm(1, &id).await;
    assert_eq!(third["revision"], first["revision"]);
    assert_eq!(fleet.stored()["workspaces"]["a"]["share"], 2);
}

/// Guards against two operators both being told that their conflicting change
/// is in force.
#[tokio::test]
async fn of_racing_operators_one_wins_and_the_others_learn_why() {
    const OPERATORS: usize = 8;
    let fleet = Fleet::start(4).await;
    fleet.accept(&workspace("a", 100)).await;
    let mut ids = Vec::new();
    for n in 0..OPERATORS {
        ids.push(fleet.planned(n % 4, &workspace("a", 1 + n as u32)).await);
    }
    let confirms = ids.iter().enumerate().map(|(n, id)| fleet.confirm(n % 4, id));
    let results = futures::future::join_all(confirms).await;
    let winners: Vec<usize> = (0..OPERATORS).filter(|n| results[*n].0 == 200).collect();
    assert_eq!(winners.len(), 1);
    assert_eq!(fleet.stored()["workspaces"]["a"]["share"], json!(1 + winners[0]));
    for (status, answer) in results.iter().filter(|(status, _)| *status != 200) {
        assert_eq!(status.as_u16(), 409);
        assert_eq!(answer["error"]["type"], "stale");
        assert_eq!(answer["error"]["since"][0]["plan"], json!(ids[winners[0]]));
    }
}

/// Guards against one plan, confirmed at all instances at once, being written
/// twice or refused.
#[tokio::test]
async fn one_plan_confirmed_everywhere_at_once_is_accepted_once() {
    let fleet = Fleet::start(4).await;
    let id = fleet.planned(0, &workspace("a", 1)).await;
    let results = futures::future::join_all((0..4).map(|n| fleet.confirm(n, &id))).await;
    let revisions: Vec<_> = results.iter().map(|(_, answer)| &answer["revision"]).collect();
    assert!(results.iter().all(|(status, _)| *status == 200), "{results:?}");
    assert!(revisions.iter().all(|revision| *revision == revisions[0]));
    assert_eq!(fleet.stored()["history"].as_array().unwrap().len(), 1);
}

/// Guards against a write whose answer is lost being reported as failed or
/// written again.
#[tokio::test]
async fn lost_answers_are_resolved() {
    let fleet = Fleet::start(1).await;
    fleet.platform.set_faults(Faults { lose_write_answers: true, ..Faults::default() });
    let id = fleet.planned(0, &workspace("a", 1)).await;
    let (status, answer) = fleet.confirm(0, &id).await;
    assert_eq!((status.as_u16(), &answer["repeated"]), (200, &json!(false)));
    let stored = fleet.platform.edit(|store| store.get("config/current").unwrap().version);
    assert_eq!(answer["revision"], stored);
    // One write for the plan, one for the document.
    assert_eq!(fleet.platform.edit(|store| store.counters.writes), 2);
}

/// Guards against an intent that hangs or is half accepted in an outage.
#[tokio::test]
async fn outages_refuse_intents_at_once_as_not_accepted() {
    let outages =
        [Faults { down: true, ..Faults::default() }, Faults { silent: true, ..Faults::default() }];
    for outage in outages {
        let fleet = Fleet::start(1).await;
        let id = fleet.planned(0, &workspace("a", 1)).await;
        fleet.platform.set_faults(outage);
        let answers = [
            fleet.confirm(0, &id).await,
            fleet.plan(0, &workspace("a", 2)).await,
            fleet.get(0, "/v1/status").await,
        ];
        for (status, answer) in answers {
            assert_eq!(status.as_u16(), 503);
            assert_eq!(answer["error"]["accepted"], json!(false));
        }
        fleet.platform.set_faults(Faults::default());
        assert_eq!(fleet.confirm(0, &id).await.0, 200);
    }
}

/// Guards against the bootstrap key keeping its power, and against keys that
/// belong to no operator.
#[tokio::test]
async fn operators_authenticate_with_their_own_keys() {
    let fleet = Fleet::start(1).await;
    assert_eq!(fleet.call(0, Method::GET, "/v1/history", "wrong", vec![]).await.0, 401);
    let hash = span_config::KeyHash::of("ada-key").0;
    let yaml = format!("operators:\n  - {{name: ada, key_sha256: \"{hash}\"}}\n");
    fleet.accept(&yaml).await;
    assert_eq!(fleet.get(0, "/v1/history").await.0, 401, "the bootstrap key");
    let (status, answer) = fleet.call(0, Method::GET, "/v1/history", "ada-key", vec![]).await;
    assert_eq!((status.as_u16(), &answer["entries"][0]["operator"]), (200, &json!("root")));
}

/// Guards against unclear or unbounded handling of requests that cannot be
/// served.
#[tokio::test]
async fn requests_that_cannot_be_served_get_clear_errors() {
    let fleet = Fleet::start(1).await;
    let unknown_plan = "0".repeat(32);
    let cases: [(&str, Method, String, Vec<u8>); 6] = [
        ("no such path", Method::GET, "/v1/nothing".into(), vec![]),
        ("no such plan", Method::POST, format!("/v1/plans/{unknown_plan}/confirm"), vec![]),
        ("odd plan id", Method::GET, "/v1/plans/..%2Fx".into(), vec![]),
        ("no JSON", Method::POST, "/v1/plans".into(), b"{".to_vec()),
        ("too large", Method::POST, "/v1/plans".into(), vec![b' '; (4 << 20) + 1]),
        (
            "faults",
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
        let (status, answer) = fleet.call(0, method, &path, ROOT_KEY, body).await;
        texts.push(format!("{name}: {} {answer}", status.as_u16()));
    }
    insta::assert_snapshot!(texts.join("\n"));
}

/// Guards against a plan being changed or its effect shown wrongly on lookup.
#[tokio::test]
async fn plans_can_be_looked_up_anywhere() {
    let fleet = Fleet::start(2).await;
    let (_, planned) = fleet.plan(0, &workspace("a", 1)).await;
    let path = format!("/v1/plans/{}", planned["plan"]["id"].as_str().unwrap());
    assert_eq!(fleet.get(1, &path).await.1, planned);
    let revision = fleet.accept(&workspace("a", 1)).await;
    assert_eq!(fleet.get(1, &path).await.1["confirmed_as"], json!(revision));
    let (_, unchanged) = fleet.plan(0, &workspace("a", 1)).await;
    assert_eq!(unchanged["plan"]["changes"], json!([]));
}

/// Guards against a status that hides routers that are behind or do not answer.
#[tokio::test]
async fn status_tells_each_router_apart() {
    let fleet = Fleet::start(1).await;
    let revision = fleet.accept(&workspace("a", 1)).await;
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

/// Guards against an export that cannot be planned back without changes.
#[tokio::test]
async fn export_plans_back_without_changes() {
    let fleet = Fleet::start(1).await;
    fleet.accept(&workspace("a", 1)).await;
    let (_, exported) = fleet.get(0, "/v1/export").await;
    let (_, plan) = fleet.plan(0, exported["yaml"].as_str().unwrap()).await;
    assert_eq!(plan["plan"]["changes"], json!([]));
}

/// Guards against plans that fill the object API, and against the removal of
/// one that can still be confirmed.
#[tokio::test]
async fn old_plans_are_removed() {
    const DAY_MS: u64 = 24 * 3600 * 1000;
    let fleet = Fleet::start(1).await;
    fleet.planned(0, &workspace("a", 1)).await;
    let settings = span_platform::Settings::new(fleet.platform.address());
    let platform = span_platform::PlatformClient::new(settings);
    let (_, plan) = fleet.plan(0, &workspace("a", 1)).await;
    let made_ms = plan["plan"]["planned_at_ms"].as_u64().unwrap();
    assert_eq!(span_intent::sweep(&platform, 0.5, made_ms + DAY_MS).await.unwrap(), 0);
    assert_eq!(span_intent::sweep(&platform, 0.5, made_ms + DAY_MS + 1).await.unwrap(), 1);
    assert_eq!(platform.list("plans/").await.unwrap().len(), 0);
}

/// Guards against confirmed plans that are kept for ever.
#[tokio::test]
async fn plans_leave_with_the_history() {
    const CONFIRMED: usize = span_config::HISTORY_LIMIT + 2;
    let fleet = Fleet::start(1).await;
    for n in 0..CONFIRMED {
        fleet.accept(&workspace("a", 1 + n as u32)).await;
    }
    let plans = fleet.platform.edit(|store| store.keys("plans/").len());
    assert_eq!(plans, span_config::HISTORY_LIMIT);
}

/// Guards against a settings file that operators cannot write by hand.
#[test]
fn settings_are_read_from_yaml() {
    let text =
        "instance: atl-1\nintent_address: 127.0.0.1:7300\nplatform_address: 127.0.0.1:7000\n";
    let read: span_intent::Settings = serde_saphyr::from_str(text).unwrap();
    let defaults = settings("atl-1", "127.0.0.1:7000".parse().unwrap());
    assert_eq!(read.instance, defaults.instance);
    assert_eq!(read.bootstrap_operator, None);
}
