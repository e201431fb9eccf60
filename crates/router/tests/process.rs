//! Guards against a process that mishandles signals or invalid settings.

mod common;

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output, Stdio},
};

use common::{
    RunningSetup, TestSetup, assert_complete, call, chat_body, executions, fast_engine, loopback,
    wait_until,
};
use http::{Method, StatusCode};
use span_standin::engine;
use tokio::process::Child;

const PROGRAM: &str = env!("CARGO_BIN_EXE_rosemaryspan-router");

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("cannot write the file");
    path
}

/// Starts a router process in addition to the router of `setup`, and waits until
/// it serves.
async fn start_router(setup: &RunningSetup, name: &str) -> (Child, SocketAddr) {
    let (http, peer, platform) =
        (common::unused_address(), common::unused_address(), setup.platform.address());
    let text = format!(
        "instance: {name}\nfailure_domain: hall-atl\nhttp_address: {http}\n\
         peer_address: {peer}\nplatform_address: {platform}\n\
         timeouts:\n  address_lifetime_ms: 0\n"
    );
    let path = write_file(&format!("{name}.yaml"), &text);
    let mut program = tokio::process::Command::new(PROGRAM);
    program.kill_on_drop(true);
    program.arg("--settings").arg(path).stdout(Stdio::null()).stderr(Stdio::piped());
    let child = program.spawn().expect("cannot start the router");
    loop {
        let request = common::request(http, Method::GET, "/v1/models", &[]);
        let request = request.body(span_http::empty_body()).expect("invalid request");
        if let Ok(answer) = setup.client.request(request).await
            && answer.status() == StatusCode::OK
        {
            return (child, http);
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}

fn terminate(child: &Child) {
    let id = child.id().expect("the process has ended").to_string();
    let status = Command::new("kill").args(["-TERM", &id]).status();
    assert!(status.expect("cannot run kill").success());
}

async fn wait_for_exit(child: Child) -> Output {
    child.wait_with_output().await.expect("cannot wait for the process")
}

#[tokio::test(flavor = "multi_thread")]
async fn second_signal_forces_shutdown() {
    let settings = engine::Settings { token_us: 5_000, ..fast_engine() };
    let engine = engine::bind(loopback(), settings).await.expect("bind failed");
    let setup = TestSetup::new().upstream("stitch-assist", engine.address()).start().await;
    for (name, tokens, signals) in [("graceful", 100, 1), ("forced", 100_000, 2)] {
        let (child, router) = start_router(&setup, name).await;
        let client = span_http::unpooled_client(std::time::Duration::from_secs(1));
        let body = chat_body(name, tokens, true).to_string();
        let call = tokio::spawn(async move {
            call(&client, router, Method::POST, "/v1/chat/completions", &[], &body).await
        });
        wait_until(|| executions(&engine, name).iter().any(|run| run.output_cost > 0)).await;
        terminate(&child);
        if signals == 1 {
            assert_complete(&call.await.expect("the task failed"), name, tokens);
            assert!(wait_for_exit(child).await.status.success());
            continue;
        }
        // Pending signals of one kind are merged, so the second one must follow
        // the handling of the first, which closes the listener.
        wait_until(|| std::net::TcpStream::connect(router).is_err()).await;
        terminate(&child);
        let output = wait_for_exit(child).await;
        assert!(!output.status.success());
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        let id = executions(&engine, name)[0].request_id.clone();
        assert!(log.contains("request cut by the shutdown") && log.contains(&id), "{log}");
    }
}

#[test]
fn all_settings_errors_are_listed() {
    let path = write_file("wrong.yaml", "instance: r1\nhttp_address: x\ncolour: red\n");
    let output =
        Command::new(PROGRAM).arg("--settings").arg(&path).output().expect("cannot run the router");
    assert!(!output.status.success());
    let log = String::from_utf8_lossy(&output.stderr).into_owned();
    for part in ["wrong.yaml:2: http_address", "wrong.yaml:3: colour", "peer_address: is missing"] {
        assert!(log.contains(part), "{part}: {log}");
    }
}
