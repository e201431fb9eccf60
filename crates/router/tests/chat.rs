//! Guards against answers that a stock client cannot read, that lose or double
//! bytes, or that belong to another request.

mod common;

use async_openai::{Client, config::OpenAIConfig, types::chat::CreateChatCompletionRequest};
use common::{KEY, MODEL, World, any, assert_whole, chat_body, closed, quick_engine, runs, until};
use futures::{StreamExt, future::join_all};
use http::{Method, StatusCode};
use span_http::full_body;
use span_standin::{
    engine::{self, Faults},
    signature::answer_text,
};

fn stock(address: std::net::SocketAddr) -> Client<OpenAIConfig> {
    let config =
        OpenAIConfig::new().with_api_base(format!("http://{address}/v1")).with_api_key(KEY);
    Client::with_config(config)
}

fn stock_request(nonce: &str, tokens: u64, stream: bool) -> CreateChatCompletionRequest {
    serde_json::from_value(chat_body(nonce, tokens, stream)).expect("it is a request")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stock_client_works_with_base_url_and_key_changed() {
    let engine = engine::bind(any(), quick_engine()).await.expect("it binds");
    let world = World::new().upstream("stitch-assist", engine.address()).start().await;
    let client = stock(world.router.http_address());
    let whole = client.chat().create(stock_request("w", 7, false)).await.expect("it completes");
    assert_eq!(whole.choices[0].message.content, Some(answer_text("w", 7)));
    assert_eq!(whole.usage.map(|usage| usage.completion_tokens), Some(7));
    let stream = client.chat().create_stream(stock_request("s", 9, true)).await;
    let chunks: Vec<_> = stream.expect("it starts").collect().await;
    let text: String = chunks
        .into_iter()
        .filter_map(|chunk| chunk.expect("it is a chunk").choices[0].delta.content.clone())
        .collect();
    assert_eq!(text, answer_text("s", 9));
    let models = world.call(Method::GET, "/v1/models", &[], "").await.json();
    assert_eq!(models["data"][0]["id"], MODEL);
}

#[tokio::test(flavor = "multi_thread")]
async fn each_caller_receives_its_own_answer() {
    let slow = engine::Settings { token_us: 3_000, ..quick_engine() };
    let engines = [
        engine::bind(any(), quick_engine()).await.expect("it binds"),
        engine::bind(any(), slow).await.expect("it binds"),
    ];
    let world = engines
        .iter()
        .fold(World::new(), |world, engine| world.upstream("stitch-assist", engine.address()));
    let world = world.start().await;
    let calls = (0..40_u64).map(|number| {
        let world = &world;
        async move {
            let (nonce, tokens) = (format!("n{number}"), 1 + number % 13);
            let answer = world.chat(&nonce, tokens, true).await;
            assert_whole(&answer, &nonce, tokens);
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
async fn a_faulty_stream_is_resumed_without_loss() {
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
        let settings = engine::Settings { faults, ..quick_engine() };
        let engine = engine::bind(any(), settings).await.expect("it binds");
        let world = World::new().upstream("stitch-assist", engine.address()).start().await;
        let streamed = world.chat(name, 10, true).await;
        assert_whole(&streamed, name, 10);
        assert_eq!(runs(&engine, name).len(), 1, "{name}: it ran once");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_faulty_whole_answer_is_read_again() {
    let base = Faults { answers: 2, ..Faults::default() };
    let cases = [
        ("break", Faults { break_after: Some(0), ..base.clone() }),
        ("silent", Faults { silence_after: Some(0), ..base.clone() }),
        ("crossed", Faults { cross_after: Some(0), ..base }),
    ];
    for (name, faults) in cases {
        let settings = engine::Settings { faults, ..quick_engine() };
        let engine = engine::bind(any(), settings).await.expect("it binds");
        let world = World::new().upstream("stitch-assist", engine.address()).start().await;
        let answer = world.chat(name, 6, false).await;
        let text = answer.json()["choices"][0]["message"]["content"].clone();
        assert_eq!(text, answer_text(name, 6), "{name}");
        assert_eq!(runs(&engine, name).len(), 1, "{name}: it ran once");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_whole_answer_may_take_longer_than_the_silence_limit() {
    let settings = engine::Settings { token_us: 200_000, ..quick_engine() };
    let engine = engine::bind(any(), settings).await.expect("it binds");
    let world = World::new().upstream("stitch-assist", engine.address()).start().await;
    let answer = world.chat("long", 8, false).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    assert_eq!(runs(&engine, "long").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_the_engine_lost_ends_as_unknown() {
    let faults = Faults { answers: 1, break_after: Some(3), forget: true, ..Faults::default() };
    let settings = engine::Settings { faults, ..quick_engine() };
    let engine = engine::bind(any(), settings).await.expect("it binds");
    let world = World::new().upstream("stitch-assist", engine.address()).start().await;
    let answer = world.chat("lost", 10, true).await;
    assert_eq!(answer.outcome().as_deref(), Some("unknown"));
    assert!(answer.text().contains("upstream_failed") && !answer.text().contains("[DONE]"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_cancels_its_request() {
    // The long lingering time shows that the engine was told.
    let settings =
        engine::Settings { token_us: 20_000, linger_ms: 600_000, ..engine::Settings::default() };
    let engine = engine::bind(any(), settings).await.expect("it binds");
    let world = World::new().upstream("stitch-assist", engine.address()).start().await;
    for stream in [true, false] {
        let nonce = format!("leaves-{stream}");
        let call = world.chat(&nonce, 100_000, stream);
        tokio::select! {
            _ = call => panic!("it cannot complete"),
            () = until(|| runs(&engine, &nonce).iter().any(|run| run.output_cost > 2)) => {}
        }
        until(|| runs(&engine, &nonce)[0].cancelled).await;
        until(|| world.router.in_flight().is_empty()).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_connection_leads_to_another_upstream() {
    let engine = engine::bind(any(), quick_engine()).await.expect("it binds");
    let world = World::new().upstream("stitch-assist", closed());
    let world = world.upstream("stitch-assist", engine.address()).start().await;
    for number in 0..20 {
        let answer = world.chat("retried", 3, number % 2 == 0).await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn errors_state_id_and_outcome() {
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
    let world = World::new().start().await;
    for case in cases {
        let headers = [("authorization", case.key)];
        let answer = world.call(Method::POST, case.path, &headers, &case.body).await;
        assert_eq!(answer.status.as_u16(), case.status, "{}", case.name);
        assert_eq!(answer.outcome().as_deref(), Some("not_run"), "{}", case.name);
        assert!(!answer.header("x-request-id").is_empty(), "{}", case.name);
        // Advice to come back only where the same request can succeed later.
        let advised = !answer.header("retry-after").is_empty();
        assert_eq!(advised, case.status == 503, "{}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_trace_context_reaches_the_engine() {
    let seen = std::sync::Arc::new(std::sync::Mutex::new(None));
    let log = seen.clone();
    let engine = span_http::serve(any(), span_http::Limits::default(), move |request, _| {
        let parent = request.headers().get("traceparent").cloned();
        *log.lock().expect("no panic") = parent;
        async { http::Response::new(full_body("{}")) }
    });
    let engine = engine.await.expect("it binds");
    let world = World::new().upstream("pages", engine.address()).start().await;
    let parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    world.call(Method::GET, "/svc/pages/x", &[("traceparent", parent)], "").await;
    assert_eq!(seen.lock().expect("no panic").as_ref().expect("it came"), parent);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_learns_which_addresses_to_use() {
    let engine = engine::bind(any(), quick_engine()).await.expect("it binds");
    let world = World::new().upstream("stitch-assist", engine.address()).start().await;
    let answer = world.call(Method::GET, "/v1/addresses", &[], "").await;
    let list = answer.json();
    let own = world.router.http_address().to_string();
    assert_eq!(list["addresses"][0]["address"], own, "{list}");
    assert!(list["lifetime_ms"].as_u64().is_some_and(|lifetime_ms| lifetime_ms > 0), "{list}");
}
