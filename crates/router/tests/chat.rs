//! Guards against answers that a standard OpenAI client cannot read, that lose or
//! duplicate bytes, or that belong to another request.

mod common;

use async_openai::{Client, config::OpenAIConfig, types::chat::CreateChatCompletionRequest};
use common::{
    MODEL, RefusingAddress, TestSetup, WORKSPACE_KEY, assert_complete, chat_body, executions,
    fast_engine, loopback, wait_until,
};
use futures::{StreamExt, future::join_all};
use http::{Method, StatusCode};
use span_http::full_body;
use span_standin::{
    engine::{self, Faults},
    signature::answer_text,
};

fn openai_client(address: std::net::SocketAddr) -> Client<OpenAIConfig> {
    let config = OpenAIConfig::new()
        .with_api_base(format!("http://{address}/v1"))
        .with_api_key(WORKSPACE_KEY);
    Client::with_config(config)
}

fn openai_request(nonce: &str, tokens: u64, stream: bool) -> CreateChatCompletionRequest {
    serde_json::from_value(chat_body(nonce, tokens, stream)).expect("not a chat completion request")
}

#[tokio::test(flavor = "multi_thread")]
async fn openai_client_needs_only_url_and_key_changed() {
    let engine = engine::bind(loopback(), fast_engine()).await.expect("bind failed");
    let setup = TestSetup::new().upstream("stitch-assist", engine.address()).start().await;
    let client = openai_client(setup.router.http_address());
    let completion =
        client.chat().create(openai_request("w", 7, false)).await.expect("the request failed");
    assert_eq!(completion.choices[0].message.content, Some(answer_text("w", 7)));
    assert_eq!(completion.usage.map(|usage| usage.completion_tokens), Some(7));
    let stream = client.chat().create_stream(openai_request("s", 9, true)).await;
    let chunks: Vec<_> = stream.expect("start failed").collect().await;
    let text: String = chunks
        .into_iter()
        .filter_map(|chunk| chunk.expect("not a chunk").choices[0].delta.content.clone())
        .collect();
    assert_eq!(text, answer_text("s", 9));
    let models = setup.call(Method::GET, "/v1/models", &[], "").await.json();
    assert_eq!(models["data"][0]["id"], MODEL);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_callers_receive_their_own_answers() {
    let slow = engine::Settings { token_us: 3_000, ..fast_engine() };
    let engines = [
        engine::bind(loopback(), fast_engine()).await.expect("bind failed"),
        engine::bind(loopback(), slow).await.expect("bind failed"),
    ];
    let setup = engines
        .iter()
        .fold(TestSetup::new(), |setup, engine| setup.upstream("stitch-assist", engine.address()));
    let setup = setup.start().await;
    let calls = (0..40_u64).map(|number| {
        let setup = &setup;
        async move {
            let (nonce, tokens) = (format!("n{number}"), 1 + number % 13);
            let answer = setup.chat(&nonce, tokens, true).await;
            assert_complete(&answer, &nonce, tokens);
            assert_eq!(answer.outcome().as_deref(), Some("completed"));
            answer.header("x-request-id").to_owned()
        }
    });
    let mut ids = join_all(calls).await;
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), 40);
}

#[tokio::test(flavor = "multi_thread")]
async fn faulty_stream_is_resumed_without_loss() {
    struct Case {
        name: &'static str,
        faults: Faults,
    }
    let base = Faults { answers: 1, ..Faults::default() };
    let cases = [
        Case { name: "break-first", faults: Faults { break_after: Some(0), ..base.clone() } },
        Case { name: "break", faults: Faults { break_after: Some(4), ..base.clone() } },
        Case {
            name: "break-each-time",
            faults: Faults { break_after: Some(2), answers: 5, ..base.clone() },
        },
        Case {
            name: "break-after-usage",
            faults: Faults { break_after: Some(11), ..base.clone() },
        },
        Case { name: "silent", faults: Faults { silence_after: Some(3), ..base.clone() } },
        Case { name: "silent-first", faults: Faults { silence_after: Some(0), ..base.clone() } },
        Case { name: "crossed", faults: Faults { cross_after: Some(5), ..base } },
    ];
    for Case { name, faults } in cases {
        let settings = engine::Settings { faults, ..fast_engine() };
        let engine = engine::bind(loopback(), settings).await.expect("bind failed");
        let setup = TestSetup::new().upstream("stitch-assist", engine.address()).start().await;
        let streamed = setup.chat(name, 10, true).await;
        assert_complete(&streamed, name, 10);
        assert_eq!(executions(&engine, name).len(), 1, "{name}: runs");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn faulty_json_answer_is_read_again() {
    let base = Faults { answers: 2, ..Faults::default() };
    let cases = [
        ("break", Faults { break_after: Some(0), ..base.clone() }),
        ("silent", Faults { silence_after: Some(0), ..base.clone() }),
        ("crossed", Faults { cross_after: Some(0), ..base }),
    ];
    for (name, faults) in cases {
        let settings = engine::Settings { faults, ..fast_engine() };
        let engine = engine::bind(loopback(), settings).await.expect("bind failed");
        let setup = TestSetup::new().upstream("stitch-assist", engine.address()).start().await;
        let answer = setup.chat(name, 6, false).await;
        let text = answer.json()["choices"][0]["message"]["content"].clone();
        assert_eq!(text, answer_text(name, 6), "{name}");
        assert_eq!(executions(&engine, name).len(), 1, "{name}: runs");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn json_answer_may_exceed_silence_limit() {
    let settings = engine::Settings { token_us: 200_000, ..fast_engine() };
    let engine = engine::bind(loopback(), settings).await.expect("bind failed");
    let setup = TestSetup::new().upstream("stitch-assist", engine.address()).start().await;
    let answer = setup.chat("long", 8, false).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_eq!(executions(&engine, "long").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_stream_ends_as_unknown() {
    let faults = Faults { answers: 1, break_after: Some(3), forget: true, ..Faults::default() };
    let settings = engine::Settings { faults, ..fast_engine() };
    let engine = engine::bind(loopback(), settings).await.expect("bind failed");
    let setup = TestSetup::new().upstream("stitch-assist", engine.address()).start().await;
    let answer = setup.chat("lost", 10, true).await;
    assert_eq!(answer.outcome().as_deref(), Some("unknown"));
    assert!(answer.text().contains("upstream_failed") && !answer.text().contains("[DONE]"));
}

/// Guards against a caller that asks for the rest of a stream and gets the start of another
/// run, such as after a restart of the routers, which remember no streams.
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_takes_up_a_stream_is_rejected() {
    let engine = engine::bind(loopback(), fast_engine()).await.expect("bind failed");
    let setup = TestSetup::new().upstream("stitch-assist", engine.address()).start().await;
    assert_complete(&setup.chat("whole", 10, true).await, "whole", 10);
    let restarted = common::spawn(&setup.settings).await;
    for router in [&setup.router, &restarted] {
        for header in ["x-resume-offset", "last-event-id"] {
            let (address, path) = (router.http_address(), "/v1/chat/completions");
            let body = chat_body("rest", 10, true).to_string();
            let headers = [(header, "3")];
            let client = &setup.client;
            let answer = common::call(client, address, Method::POST, path, &headers, &body).await;
            assert_eq!(answer.status, StatusCode::BAD_REQUEST, "{header}: {answer:?}");
            assert_eq!(answer.outcome().as_deref(), Some("not_run"), "{header}");
            assert_eq!(answer.json()["error"]["type"], "not_resumable", "{header}");
        }
    }
    assert_eq!(executions(&engine, "rest").len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn abandoned_request_is_cancelled() {
    // The engine would keep the request for this long without a reader, so it
    // must have received the cancellation.
    let settings =
        engine::Settings { token_us: 20_000, linger_ms: 600_000, ..engine::Settings::default() };
    let engine = engine::bind(loopback(), settings).await.expect("bind failed");
    let setup = TestSetup::new().upstream("stitch-assist", engine.address()).start().await;
    for stream in [true, false] {
        let nonce = format!("leaves-{stream}");
        let call = setup.chat(&nonce, 100_000, stream);
        tokio::select! {
            _ = call => panic!("the request completed"),
            () = wait_until(|| executions(&engine, &nonce).iter().any(|run| run.output_cost > 2)) => {}
        }
        wait_until(|| executions(&engine, &nonce)[0].cancelled).await;
        wait_until(|| setup.router.in_flight().is_empty()).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_connection_is_retried_at_another_upstream() {
    let engine = engine::bind(loopback(), fast_engine()).await.expect("bind failed");
    let refusing = RefusingAddress::bind();
    let setup = TestSetup::new().upstream("stitch-assist", refusing.address());
    let setup = setup.upstream("stitch-assist", engine.address()).start().await;
    for number in 0..20 {
        let answer = setup.chat("retried", 3, number % 2 == 0).await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn errors_have_id_and_outcome() {
    struct Case {
        name: &'static str,
        path: &'static str,
        key: &'static str,
        body: String,
        status: u16,
    }
    let chat = "/v1/chat/completions";
    let valid = chat_body("x", 1, false).to_string();
    let key = "Bearer key-of-shop";
    let unknown = valid.replace(MODEL, "stitch-9");
    let cases = [
        Case { name: "no key", path: chat, key: "", body: valid.clone(), status: 401 },
        Case { name: "bad key", path: chat, key: "Bearer no", body: valid.clone(), status: 401 },
        Case { name: "basic", path: chat, key: "Basic eA==", body: valid.clone(), status: 401 },
        Case {
            name: "no service",
            path: chat,
            key: "Bearer key-of-none",
            body: valid.clone(),
            status: 403,
        },
        Case { name: "model", path: chat, key, body: unknown, status: 404 },
        Case { name: "path", path: "/v2/x", key, body: valid.clone(), status: 404 },
        Case { name: "method", path: "/v1/models", key, body: valid.clone(), status: 405 },
        Case { name: "json", path: chat, key, body: "{".into(), status: 400 },
        Case {
            name: "no messages",
            path: chat,
            key,
            body: "{\"model\":\"a\"}".into(),
            status: 400,
        },
        Case { name: "no upstream", path: chat, key, body: valid.clone(), status: 503 },
        Case { name: "not plain", path: "/svc/stitch-assist/", key, body: valid, status: 404 },
    ];
    let setup = TestSetup::new().start().await;
    for case in cases {
        let headers = [("authorization", case.key)];
        let answer = setup.call(Method::POST, case.path, &headers, &case.body).await;
        assert_eq!(answer.status.as_u16(), case.status, "{}", case.name);
        assert_eq!(answer.outcome().as_deref(), Some("not_run"), "{}", case.name);
        assert!(!answer.header("x-request-id").is_empty(), "{}", case.name);
        // A retry delay is only suggested if the same request can succeed later.
        let has_retry_after = !answer.header("retry-after").is_empty();
        assert_eq!(has_retry_after, case.status == 503, "{}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn trace_context_is_propagated() {
    let seen = std::sync::Arc::new(std::sync::Mutex::new(None));
    let log = seen.clone();
    let engine = span_http::serve(loopback(), span_http::Limits::default(), move |request, _| {
        let parent = request.headers().get("traceparent").cloned();
        *log.lock().expect("a task panicked") = parent;
        async { http::Response::new(full_body("{}")) }
    });
    let engine = engine.await.expect("bind failed");
    let setup = TestSetup::new().upstream("pages", engine.address()).start().await;
    let parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    setup.call(Method::GET, "/svc/pages/x", &[("traceparent", parent)], "").await;
    assert_eq!(seen.lock().expect("a task panicked").as_ref().expect("no request arrived"), parent);
}

#[tokio::test(flavor = "multi_thread")]
async fn router_addresses_are_listed() {
    let engine = engine::bind(loopback(), fast_engine()).await.expect("bind failed");
    let setup = TestSetup::new().upstream("stitch-assist", engine.address()).start().await;
    let answer = setup.call(Method::GET, "/v1/addresses", &[], "").await;
    let list = answer.json();
    let own = setup.router.http_address().to_string();
    assert_eq!(list["addresses"][0]["address"], own, "{list}");
    assert!(list["lifetime_ms"].as_u64().is_some_and(|lifetime_ms| lifetime_ms > 0), "{list}");
}
