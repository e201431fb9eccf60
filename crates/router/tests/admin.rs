//! Guards against status and counters that callers can read, or that operators
//! cannot read.

mod common;

use common::{ADMIN_KEY, OPERATOR_KEY, TestSetup, WORKSPACE_KEY, call, fast_engine};
use http::{Method, StatusCode};
use span_standin::engine;

#[tokio::test(flavor = "multi_thread")]
async fn only_operators_see_status_and_metrics() {
    struct Case {
        authorization: Option<&'static str>,
        expected: StatusCode,
    }
    let cases = [
        Case { authorization: None, expected: StatusCode::UNAUTHORIZED },
        Case { authorization: Some(WORKSPACE_KEY), expected: StatusCode::UNAUTHORIZED },
        Case { authorization: Some(OPERATOR_KEY), expected: StatusCode::OK },
        Case { authorization: Some(ADMIN_KEY), expected: StatusCode::OK },
    ];
    let engine = engine::bind(common::loopback(), fast_engine()).await.expect("bind failed");
    let setup = TestSetup::new().upstream("stitch-assist", engine.address()).start().await;
    for case in cases {
        let bearer = case.authorization.map(|key| format!("Bearer {key}")).unwrap_or_default();
        for path in ["/status", "/metrics"] {
            let headers = [("authorization", bearer.as_str())];
            let address = setup.router.http_address();
            let answer = call(&setup.client, address, Method::GET, path, &headers, "").await;
            assert_eq!(answer.status, case.expected, "{path} with {:?}", case.authorization);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn status_shows_revision_in_force() {
    let engine = engine::bind(common::loopback(), fast_engine()).await.expect("bind failed");
    let setup = TestSetup::new().upstream("stitch-assist", engine.address()).start().await;
    let bearer = format!("Bearer {OPERATOR_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let address = setup.router.http_address();
    let answer = call(&setup.client, address, Method::GET, "/status", &headers, "").await;
    let status = answer.json();
    assert_eq!(status["revision"], 1, "{status}");
    assert_eq!(status["members"][0]["instance"], "r1", "{status}");
}

/// Guards against a router that denies valid keys because it has no configuration
/// yet. It happened when all routers were restarted during an outage of the
/// object API.
#[tokio::test(flavor = "multi_thread")]
async fn unconfigured_router_does_not_deny_keys() {
    let setup = TestSetup::new().start().await;
    let settings = span_router::settings::Settings {
        instance: "r2".into(),
        platform_address: common::loopback(),
        ..setup.settings.clone()
    };
    let router = span_router::spawn(settings).await.expect("the router did not start");
    let bearer = format!("Bearer {WORKSPACE_KEY}");
    let headers = [("authorization", bearer.as_str())];
    let path = "/v1/chat/completions";
    let address = router.http_address();
    let answer = call(&setup.client, address, Method::POST, path, &headers, "{}").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.outcome().as_deref(), Some("not_run"));
    assert!(!answer.header("retry-after").is_empty());
}
