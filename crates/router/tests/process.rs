//! Guards against a process that mishandles signals or wrong settings.

mod common;

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output, Stdio},
};

use common::{Running, World, any, assert_whole, call, chat_body, quick_engine, runs, until};
use http::{Method, StatusCode};
use span_standin::engine;
use tokio::process::Child;

const PROGRAM: &str = env!("CARGO_BIN_EXE_rosemaryspan-router");

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("it is written");
    path
}

/// Starts a router process beside the one of `world`.
async fn start(world: &Running, name: &str) -> (Child, SocketAddr) {
    let (http, peer, platform) = (common::closed(), common::closed(), world.platform.address());
    let text = format!(
        "instance: {name}\nfailure_domain: hall-atl\nhttp_address: {http}\n\
         peer_address: {peer}\nplatform_address: {platform}\n\
         timeouts:\n  address_lifetime_ms: 0\n"
    );
    let path = file(&format!("{name}.yaml"), &text);
    let mut program = tokio::process::Command::new(PROGRAM);
    program.kill_on_drop(true);
    program.arg("--settings").arg(path).stdout(Stdio::null()).stderr(Stdio::piped());
    let child = program.spawn().expect("it starts");
    loop {
        let request = common::request(http, Method::GET, "/v1/models", &[]);
        let request = request.body(span_http::empty_body()).expect("it is valid");
        if let Ok(answer) = world.client.request(request).await
            && answer.status() == StatusCode::OK
        {
            return (child, http);
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}

fn terminate(child: &Child) {
    let id = child.id().expect("it runs").to_string();
    let status = Command::new("kill").args(["-TERM", &id]).status();
    assert!(status.expect("it runs").success());
}

async fn end(child: Child) -> Output {
    child.wait_with_output().await.expect("it ends")
}

#[tokio::test(flavor = "multi_thread")]
async fn the_first_signal_drains_and_the_second_lists_what_is_cut() {
    let settings = engine::Settings { token_us: 5_000, ..quick_engine() };
    let engine = engine::bind(any(), settings).await.expect("it binds");
    let world = World::new().upstream("stitch-assist", engine.address()).start().await;
    for (name, tokens, signals) in [("drained", 100, 1), ("cut", 100_000, 2)] {
        let (child, router) = start(&world, name).await;
        let client = span_http::unpooled_client(std::time::Duration::from_secs(1));
        let body = chat_body(name, tokens, true).to_string();
        let call = tokio::spawn(async move {
            call(&client, router, Method::POST, "/v1/chat/completions", &[], &body).await
        });
        until(|| runs(&engine, name).iter().any(|run| run.output_cost > 0)).await;
        terminate(&child);
        if signals == 1 {
            assert_whole(&call.await.expect("it ends"), name, tokens);
            assert!(end(child).await.status.success());
            continue;
        }
        // Signals of one kind do not queue: the second has to follow the
        // handling of the first, which closes the listener.
        until(|| std::net::TcpStream::connect(router).is_err()).await;
        terminate(&child);
        let output = end(child).await;
        assert!(!output.status.success());
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        let id = runs(&engine, name)[0].request_id.clone();
        assert!(log.contains("request cut by the shutdown") && log.contains(&id), "{log}");
    }
}

#[test]
fn wrong_settings_are_all_listed() {
    let path = file("wrong.yaml", "instance: r1\nhttp_address: x\ncolour: red\n");
    let output = Command::new(PROGRAM).arg("--settings").arg(&path).output().expect("it runs");
    assert!(!output.status.success());
    let log = String::from_utf8_lossy(&output.stderr).into_owned();
    for part in ["wrong.yaml:2: http_address", "wrong.yaml:3: colour", "peer_address: is missing"] {
        assert!(log.contains(part), "{part}: {log}");
    }
}
