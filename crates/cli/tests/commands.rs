//! Output and exit codes of all commands, run against intent processes.
#![allow(clippy::unwrap_used)]

use std::{
    ffi::OsString,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use span_cli::{CommandOutput, Environment, ExitCode};
use span_config::KeyHash;
use span_intent::{BootstrapOperator, Handle, Settings};
use span_standin::{
    engine::{self, Engine},
    objects::{self, Faults, Instance, Platform},
};

const KEY: &str = "root-key";

struct TestSite {
    platform: Platform,
    intents: Vec<Handle>,
    engine: Engine,
    folder: PathBuf,
}

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn settings(platform: SocketAddr, n: usize) -> Settings {
    Settings {
        instance: format!("intent-{n}").into(),
        intent_address: loopback(),
        platform_address: platform,
        bootstrap_operator: Some(BootstrapOperator {
            name: "root".to_owned(),
            key_sha256: KeyHash::of(KEY),
        }),
        platform_timeout_ms: 300,
        status_timeout_ms: 300,
        order_timeout_ms: 300,
        weight_loads_per_minute: 6,
    }
}

impl TestSite {
    async fn start(test: &str) -> Self {
        let platform = objects::bind(loopback()).await.unwrap();
        let mut intents = Vec::new();
        for n in 0..2 {
            intents.push(span_intent::spawn(settings(platform.address(), n)).await.unwrap());
        }
        let engine = engine::bind(loopback(), engine::Settings::default()).await.unwrap();
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        std::fs::create_dir_all(&folder).unwrap();
        Self { platform, intents, engine, folder }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    fn fleet(&self, share: u32) -> String {
        let address = self.engine.address();
        self.file(
            "fleet.yaml",
            &format!(
                "workspaces:\n  - {{name: a, share: {share}, services: [chat]}}\n  - {{name: b, \
                 share: 10, services: [chat]}}\nservices:\n  - {{name: chat, kind: model, models: \
                 [m]}}\nupstreams:\n  - {{name: e, service: chat, address: \"{address}\", \
                 failure_domain: x, max_concurrency: 8}}\n"
            ),
        )
    }

    fn addresses(&self) -> String {
        let addresses = self.intents.iter().map(|intent| intent.address().to_string());
        addresses.collect::<Vec<_>>().join(",")
    }

    async fn run(&self, args: &[&str]) -> CommandOutput {
        run(args, &self.addresses(), KEY).await
    }

    /// Prints the output with placeholders for values that differ between runs.
    fn masked(&self, output: &CommandOutput) -> String {
        let text = format!("exit {}\n{}{}", output.exit_code as u8, output.stdout, output.stderr);
        let mut text = text.replace(&self.folder.display().to_string(), "<folder>");
        text = text.replace(&self.engine.address().to_string(), "<engine>");
        for intent in &self.intents {
            text = text.replace(&intent.address().to_string(), "<intent>");
        }
        mask_words(&text)
    }
}

/// Replaces plan ids, order ids, dates and times with placeholders.
fn mask_words(text: &str) -> String {
    let mask = |word: &str| {
        let trimmed = word.trim_end_matches(['\n', ',', '"']);
        let is_id = trimmed.len() == 32 && trimmed.bytes().all(|byte| byte.is_ascii_hexdigit());
        let is_date = trimmed.len() == 10 && trimmed.starts_with("20") && trimmed.contains('-');
        let is_time = trimmed.len() == 9 && trimmed.ends_with('Z');
        match (is_id, is_date, is_time) {
            (true, ..) => word.replace(trimmed, "<id>"),
            (_, true, _) => word.replace(trimmed, "<date>"),
            (.., true) => word.replace(trimmed, "<time>"),
            _ => word.to_owned(),
        }
    };
    text.split_inclusive([' ', '\n'])
        .map(|part| {
            let (body, end) = part.split_at(part.trim_end_matches([' ', '\n']).len());
            format!("{}{end}", mask(body))
        })
        .collect()
}

async fn run(args: &[&str], intents: &str, key: &str) -> CommandOutput {
    let raw = args.iter().map(OsString::from).collect();
    let environment =
        Environment { intent_addresses: Some(intents.to_owned()), key: Some(key.to_owned()) };
    span_cli::run(pico_args::Arguments::from_vec(raw), &environment).await
}

fn plan_id_in(output: &CommandOutput) -> String {
    let words = output.stdout.split_whitespace();
    words.skip_while(|word| *word != "plan").nth(1).unwrap().to_owned()
}

/// Guards against output that does not show an effect, and against changed exit codes,
/// on which scripts rely.
#[tokio::test]
async fn output_and_exit_codes_of_a_change() {
    let site = TestSite::start("change").await;
    let mut texts = Vec::new();
    let plan_output = site.run(&["plan", &site.fleet(10)]).await;
    let first = plan_id_in(&plan_output);
    texts.push(site.masked(&plan_output));
    texts.push(site.masked(&site.run(&["confirm", &first]).await));
    texts.push(site.masked(&site.run(&["confirm", &first]).await));
    texts.push(site.masked(&site.run(&["plan", &site.fleet(10)]).await));
    let stale = plan_id_in(&site.run(&["plan", &site.fleet(20)]).await);
    let second = plan_id_in(&site.run(&["plan", &site.fleet(30)]).await);
    assert_eq!(site.run(&["confirm", &second]).await.exit_code, ExitCode::Done);
    texts.push(site.masked(&site.run(&["confirm", &stale]).await));
    texts.push(site.masked(&site.run(&["history"]).await));
    texts.push(site.masked(&site.run(&["export"]).await));
    insta::assert_snapshot!(texts.join("----\n"));
}

/// Guards against errors without a clear message and the right exit code.
#[tokio::test]
async fn output_and_exit_codes_of_errors() {
    let site = TestSite::start("errors").await;
    let bad = site.file("bad.yaml", "workspaces:\n  - {name: a, share: 0, color: red}\n");
    let empty = site.folder.join("empty");
    std::fs::create_dir_all(&empty).unwrap();
    let empty = empty.display().to_string();
    let unknown_plan = "0".repeat(32);
    let cases: [&[&str]; 9] = [
        &["check", &bad],
        &["plan", &bad],
        &["check", &empty],
        &["frobnicate"],
        &["confirm", "x"],
        &["confirm", &unknown_plan],
        &["status", "extra"],
        &["order", "load_model", "nobody", "m", "--id", "o1"],
        &["status", "--output", "xml"],
    ];
    let mut texts = Vec::new();
    for args in cases {
        texts.push(site.masked(&site.run(args).await));
    }
    texts.push(site.masked(&run(&["history"], &site.addresses(), "wrong").await));
    texts.push(site.masked(&run(&["history"], "", KEY).await));
    insta::assert_snapshot!(texts.join("----\n"));
}

/// Guards against giving up at the first instance that cannot be reached, and against
/// an exit code other than "not accepted" when no instance or object API is available.
#[tokio::test]
async fn other_addresses_are_tried_in_turn() {
    let mut site = TestSite::start("turn").await;
    let id = plan_id_in(&site.run(&["plan", &site.fleet(10)]).await);
    let addresses = site.addresses();
    site.intents.remove(0).abort();
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let running = site.intents[0].address();
    assert!(addresses.contains(&running.to_string()));
    let one_closed = format!("{closed},{running}");
    assert_eq!(run(&["confirm", &id], &one_closed, KEY).await.exit_code, ExitCode::Done);
    let all_closed = closed.to_string();
    assert_eq!(run(&["confirm", &id], &all_closed, KEY).await.exit_code, ExitCode::NotAccepted);
    site.platform.set_faults(Faults { down: true, ..Faults::default() });
    assert_eq!(run(&["confirm", &id], &one_closed, KEY).await.exit_code, ExitCode::NotAccepted);
}

/// Guards against "not accepted" after an instance that may have accepted the plan gave
/// no valid response.
#[tokio::test]
async fn unknown_effect_is_not_reported_as_not_accepted() {
    let site = TestSite::start("unknown").await;
    let id = plan_id_in(&site.run(&["plan", &site.fleet(10)]).await);
    let server_future =
        span_http::serve(loopback(), span_http::Limits::default(), |_request, _peer| async {
            span_http::json_response(http::StatusCode::BAD_GATEWAY, &"not an intent process")
        });
    let server = server_future.await.unwrap();
    let invalid = server.address();
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let unknown = run(&["confirm", &id], &format!("{invalid},{closed}"), KEY).await;
    assert_eq!(unknown.exit_code, ExitCode::EffectUnknown);
    let resolved = run(&["confirm", &id], &format!("{invalid},{}", site.addresses()), KEY).await;
    assert_eq!(resolved.exit_code, ExitCode::Done);
    server.abort();
}

/// Guards against JSON output that programs cannot parse, for results and errors.
#[tokio::test]
async fn json_output_can_be_parsed() {
    let site = TestSite::start("json").await;
    let plan_output = site.run(&["plan", &site.fleet(10), "--output", "json"]).await;
    let plan: span_intent::message::PlanResponse =
        serde_json::from_str(&plan_output.stdout).unwrap();
    assert_eq!(plan.plan.changes.len(), 4);
    let missing_plan = site.run(&["confirm", &"0".repeat(32), "--output", "json"]).await;
    let error: span_intent::message::ErrorResponse =
        serde_json::from_str(&missing_plan.stdout).unwrap();
    assert_eq!(
        (error.error.kind.as_str(), missing_plan.exit_code),
        ("not_found", ExitCode::Rejected)
    );
}

/// Guards against exit code 0 of `status` while a router does not have the accepted
/// revision in force, and against executing a repeated order twice.
#[tokio::test]
async fn status_reports_unreachable_routers_and_repeated_orders_run_once() {
    let site = TestSite::start("status").await;
    let id = plan_id_in(&site.run(&["plan", &site.fleet(10)]).await);
    assert_eq!(site.run(&["confirm", &id]).await.exit_code, ExitCode::Done);
    assert_eq!(site.run(&["status"]).await.exit_code, ExitCode::Done);
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    site.platform.edit(|store| {
        let address = closed.to_string();
        store.put_instance(
            0,
            Instance {
                name: "r-1".to_owned(),
                http_address: address.clone(),
                peer_address: address,
                failure_domain: "x".to_owned(),
                leaving: false,
            },
        );
    });
    assert_eq!(site.run(&["status"]).await.exit_code, ExitCode::NotInForce);
    for _ in 0..2 {
        let order = site.run(&["order", "change_role", "e", "prefill", "--id", "o1"]).await;
        assert_eq!(order.exit_code, ExitCode::Done, "{order:?}");
    }
    assert_eq!(site.engine.orders().executed().len(), 1);
}

/// Guards against a key that can only be given in the environment.
#[tokio::test]
async fn key_is_read_from_a_file() {
    let site = TestSite::start("key").await;
    let file = site.file("key", "root-key\n");
    let output = run(&["history", "--key-file", &file], &site.addresses(), "wrong").await;
    assert_eq!(output.exit_code, ExitCode::Done);
}

/// Guards against ignoring some of the files in a folder.
#[tokio::test]
async fn all_files_of_a_folder_are_read() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/magnolia/fleet");
    let output = run(&["check", root.to_str().unwrap()], "", KEY).await;
    assert_eq!(output.stdout, "valid: 16 workspaces, 2 services, 21 upstreams\n");
}
