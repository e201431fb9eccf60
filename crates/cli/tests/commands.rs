//! Commands against intent processes, with their texts and exit codes.
#![allow(clippy::unwrap_used)]

use std::{
    ffi::OsString,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use span_cli::{Environment, Exit, Printed};
use span_config::KeyHash;
use span_intent::{BootstrapOperator, Handle, Settings};
use span_standin::{
    engine::{self, Engine},
    objects::{self, Faults, Instance, Platform},
};

const KEY: &str = "root-key";

struct Site {
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

impl Site {
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

    async fn run(&self, args: &[&str]) -> Printed {
        run(args, &self.addresses(), KEY).await
    }

    /// Replaces what differs from run to run.
    fn stable(&self, printed: &Printed) -> String {
        let text = format!("exit {}\n{}{}", printed.exit as u8, printed.out, printed.err);
        let mut text = text.replace(&self.folder.display().to_string(), "<folder>");
        text = text.replace(&self.engine.address().to_string(), "<engine>");
        for intent in &self.intents {
            text = text.replace(&intent.address().to_string(), "<intent>");
        }
        stable_words(&text)
    }
}

/// Replaces plan ids, order ids, dates and times.
fn stable_words(text: &str) -> String {
    let word = |word: &str| {
        let bare = word.trim_end_matches(['\n', ',', '"']);
        let hex = bare.len() == 32 && bare.bytes().all(|byte| byte.is_ascii_hexdigit());
        let date = bare.len() == 10 && bare.starts_with("20") && bare.contains('-');
        let time = bare.len() == 9 && bare.ends_with('Z');
        match (hex, date, time) {
            (true, ..) => word.replace(bare, "<id>"),
            (_, true, _) => word.replace(bare, "<date>"),
            (.., true) => word.replace(bare, "<time>"),
            _ => word.to_owned(),
        }
    };
    text.split_inclusive([' ', '\n'])
        .map(|part| {
            let (body, end) = part.split_at(part.trim_end_matches([' ', '\n']).len());
            format!("{}{end}", word(body))
        })
        .collect()
}

async fn run(args: &[&str], intents: &str, key: &str) -> Printed {
    let raw = args.iter().map(OsString::from).collect();
    let environment = Environment { intents: Some(intents.to_owned()), key: Some(key.to_owned()) };
    span_cli::run(pico_args::Arguments::from_vec(raw), &environment).await
}

fn id_in(printed: &Printed) -> String {
    let words = printed.out.split_whitespace();
    words.skip_while(|word| *word != "plan").nth(1).unwrap().to_owned()
}

/// Guards against texts that hide an effect, and against exit codes that
/// scripts cannot rely on.
#[tokio::test]
async fn texts_and_exit_codes_of_a_change() {
    let site = Site::start("change").await;
    let mut texts = Vec::new();
    let planned = site.run(&["plan", &site.fleet(10)]).await;
    let first = id_in(&planned);
    texts.push(site.stable(&planned));
    texts.push(site.stable(&site.run(&["confirm", &first]).await));
    texts.push(site.stable(&site.run(&["confirm", &first]).await));
    texts.push(site.stable(&site.run(&["plan", &site.fleet(10)]).await));
    let stale = id_in(&site.run(&["plan", &site.fleet(20)]).await);
    let second = id_in(&site.run(&["plan", &site.fleet(30)]).await);
    assert_eq!(site.run(&["confirm", &second]).await.exit, Exit::Done);
    texts.push(site.stable(&site.run(&["confirm", &stale]).await));
    texts.push(site.stable(&site.run(&["history"]).await));
    texts.push(site.stable(&site.run(&["export"]).await));
    insta::assert_snapshot!(texts.join("----\n"));
}

/// Guards against errors that do not say what to do.
#[tokio::test]
async fn texts_and_exit_codes_of_errors() {
    let site = Site::start("errors").await;
    let bad = site.file("bad.yaml", "workspaces:\n  - {name: a, share: 0, color: red}\n");
    let empty = site.folder.join("empty");
    std::fs::create_dir_all(&empty).unwrap();
    let empty = empty.display().to_string();
    let nothing = "0".repeat(32);
    let cases: [&[&str]; 9] = [
        &["check", &bad],
        &["plan", &bad],
        &["check", &empty],
        &["frobnicate"],
        &["confirm", "x"],
        &["confirm", &nothing],
        &["status", "extra"],
        &["order", "load_model", "nobody", "m", "--id", "o1"],
        &["status", "--output", "xml"],
    ];
    let mut texts = Vec::new();
    for args in cases {
        texts.push(site.stable(&site.run(args).await));
    }
    texts.push(site.stable(&run(&["history"], &site.addresses(), "wrong").await));
    texts.push(site.stable(&run(&["history"], "", KEY).await));
    insta::assert_snapshot!(texts.join("----\n"));
}

/// Guards against giving up at the first instance that is gone, and against a
/// confirmed plan being reported as failed when the object API goes down.
#[tokio::test]
async fn other_addresses_are_tried_in_turn() {
    let mut site = Site::start("turn").await;
    let id = id_in(&site.run(&["plan", &site.fleet(10)]).await);
    let addresses = site.addresses();
    site.intents.remove(0).abort();
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let alive = site.intents[0].address();
    assert!(addresses.contains(&alive.to_string()));
    let some_closed = format!("{closed},{alive}");
    assert_eq!(run(&["confirm", &id], &some_closed, KEY).await.exit, Exit::Done);
    let all_closed = closed.to_string();
    assert_eq!(run(&["confirm", &id], &all_closed, KEY).await.exit, Exit::NotAccepted);
    site.platform.set_faults(Faults { down: true, ..Faults::default() });
    assert_eq!(run(&["confirm", &id], &some_closed, KEY).await.exit, Exit::NotAccepted);
}

/// Guards against "not accepted" after an instance that may have accepted the
/// plan gave no answer.
#[tokio::test]
async fn unknown_effect_is_not_reported_as_refused() {
    let site = Site::start("unknown").await;
    let id = id_in(&site.run(&["plan", &site.fleet(10)]).await);
    let cut = span_http::serve(loopback(), span_http::Limits::default(), |_request, _peer| async {
        span_http::json_response(http::StatusCode::BAD_GATEWAY, &"not an intent process")
    });
    let server = cut.await.unwrap();
    let cut = server.address();
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let unsure = run(&["confirm", &id], &format!("{cut},{closed}"), KEY).await;
    assert_eq!(unsure.exit, Exit::Unknown);
    let settled = run(&["confirm", &id], &format!("{cut},{}", site.addresses()), KEY).await;
    assert_eq!(settled.exit, Exit::Done);
    server.abort();
}

/// Guards against JSON that programs cannot read, for results and errors.
#[tokio::test]
async fn json_output_is_complete() {
    let site = Site::start("json").await;
    let planned = site.run(&["plan", &site.fleet(10), "--output", "json"]).await;
    let plan: span_intent::message::PlanAnswer = serde_json::from_str(&planned.out).unwrap();
    assert_eq!(plan.plan.changes.len(), 4);
    let missing = site.run(&["confirm", &"0".repeat(32), "--output", "json"]).await;
    let error: span_intent::message::ErrorAnswer = serde_json::from_str(&missing.out).unwrap();
    assert_eq!((error.error.kind.as_str(), missing.exit), ("not_found", Exit::Refused));
}

/// Guards against a status that looks fine while a router is behind, and
/// against orders that run twice when they are repeated.
#[tokio::test]
async fn status_and_orders() {
    let site = Site::start("status").await;
    let id = id_in(&site.run(&["plan", &site.fleet(10)]).await);
    assert_eq!(site.run(&["confirm", &id]).await.exit, Exit::Done);
    assert_eq!(site.run(&["status"]).await.exit, Exit::Done);
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
    assert_eq!(site.run(&["status"]).await.exit, Exit::NotInForce);
    for _ in 0..2 {
        let order = site.run(&["order", "change_role", "e", "prefill", "--id", "o1"]).await;
        assert_eq!(order.exit, Exit::Done, "{order:?}");
    }
    assert_eq!(site.engine.orders().executed().len(), 1);
}

/// Guards against a key that has to stand on the command line.
#[tokio::test]
async fn key_is_read_from_a_file() {
    let site = Site::start("key").await;
    let file = site.file("key", "root-key\n");
    let printed = run(&["history", "--key-file", &file], &site.addresses(), "wrong").await;
    assert_eq!(printed.exit, Exit::Done);
}

/// Guards against a folder being read differently from its files.
#[tokio::test]
async fn folders_are_read_whole() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/magnolia/fleet");
    let printed = run(&["check", root.to_str().unwrap()], "", KEY).await;
    assert_eq!(printed.out, "valid: 16 workspaces, 2 services, 21 upstreams\n");
}
