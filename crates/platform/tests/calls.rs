//! Calls of the client to a stand-in platform, with and without faults.
#![allow(clippy::unwrap_used)]

use span_platform::{Condition, Error, Instance, PlatformClient, Settings, WriteConfirmation};
use span_standin::objects::{self, Faults, Platform as Standin, Precondition};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

async fn start() -> (Standin, PlatformClient) {
    let standin = objects::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let settings =
        Settings { call_timeout_ms: 200, watch_wait_ms: 50, ..Settings::new(standin.address()) };
    (standin, PlatformClient::new(settings))
}

fn error_kind(error: &Error) -> &'static str {
    match error {
        Error::Conflict { .. } => "conflict",
        Error::Rejected { .. } => "rejected",
        Error::Unavailable { .. } => "unavailable",
        Error::EffectUnknown { .. } => "effect unknown",
    }
}

/// Guards against a write that may have taken effect being reported as not
/// written, and the reverse.
#[tokio::test]
async fn errors_state_known_effect() {
    struct Case {
        name: &'static str,
        faults: Faults,
        key: &'static str,
        condition: Condition,
        read: &'static str,
        write: &'static str,
    }
    let healthy = Faults::default;
    let any = Condition::Any;
    let cases = [
        Case {
            name: "conflict",
            faults: healthy(),
            key: "a",
            condition: Condition::Version(99),
            read: "ok",
            write: "conflict",
        },
        Case {
            name: "invalid key",
            faults: healthy(),
            key: "a b",
            condition: any,
            read: "rejected",
            write: "rejected",
        },
        Case {
            name: "down",
            faults: Faults { down: true, ..healthy() },
            key: "a",
            condition: any,
            read: "unavailable",
            write: "effect unknown",
        },
        Case {
            name: "silent",
            faults: Faults { silent: true, ..healthy() },
            key: "a",
            condition: any,
            read: "unavailable",
            write: "effect unknown",
        },
        Case {
            name: "lost responses to writes",
            faults: Faults { lose_write_answers: true, ..healthy() },
            key: "a",
            condition: any,
            read: "ok",
            write: "effect unknown",
        },
    ];
    for case in cases {
        let (standin, platform) = start().await;
        standin.set_faults(case.faults);
        let read = platform.get(case.key).await;
        let write = platform.put(case.key, "1", case.condition).await;
        assert_eq!(read.as_ref().err().map_or("ok", error_kind), case.read, "{}", case.name);
        assert_eq!(write.as_ref().err().map_or("ok", error_kind), case.write, "{}", case.name);
    }
}

/// Guards against a refused connection being reported as an unknown effect. It is
/// the only connection failure that proves that a write did not happen.
#[tokio::test]
async fn refused_connection_means_not_written() {
    let (standin, platform) = start().await;
    standin.abort();
    tokio::task::yield_now().await;
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let other = PlatformClient::new(Settings::new(closed));
    drop(platform);
    let error = other.put("a", "1", Condition::Any).await.unwrap_err();
    assert_eq!(error_kind(&error), "unavailable");
}

/// Guards against a write that is repeated after a lost response without reading
/// the object back: it would conflict with itself.
#[tokio::test]
async fn lost_response_is_resolved_by_reading_back() {
    let (standin, platform) = start().await;
    standin.set_faults(Faults { lose_write_answers: true, ..Faults::default() });
    let contains_write = |object: &span_platform::Object| object.value == "mine";
    let confirmation = platform
        .put_confirmed("a", "mine".into(), Condition::Absent, contains_write)
        .await
        .unwrap();
    let stored = platform.get("a").await.unwrap().unwrap();
    let version = stored.version;
    assert_eq!(&stored.value[..], b"mine");
    assert_eq!(confirmation, WriteConfirmation::ReadBack(stored));
    assert_eq!(platform.counts().writes, 1);

    let outdated = Condition::Version(version);
    standin.edit(|store| store.put("a", b"theirs".to_vec(), Precondition::None)).unwrap();
    let error =
        platform.put_confirmed("a", "mine".into(), outdated, contains_write).await.unwrap_err();
    assert_eq!(error_kind(&error), "conflict");
}

/// Guards against a write being reported as "not written" if the platform is down
/// when it is read back.
#[tokio::test]
async fn effect_is_unknown_if_reading_back_fails() {
    let (standin, platform) = start().await;
    standin.set_faults(Faults { down: true, ..Faults::default() });
    let result = platform.put_confirmed("a", "mine".into(), Condition::Absent, |_| false).await;
    assert_eq!(error_kind(&result.unwrap_err()), "effect unknown");
}

/// Guards against a change that is never seen because the platform left the
/// watch stale.
#[tokio::test]
async fn read_detects_change_missed_by_stale_watch() {
    let (standin, platform) = start().await;
    standin.set_faults(Faults { stale_watches: true, ..Faults::default() });
    let mut watch = platform.watch("a", 0);
    assert_eq!(watch.poll_once().await.unwrap(), None);
    let version = platform.put("a", "1", Condition::Any).await.unwrap();
    assert_eq!(watch.next().await.version, version);
    assert_eq!(platform.wait_for_change("a", 0, 10).await.unwrap(), None, "the watch is stale");
}

/// Guards against a watch that ends during an outage or returns a version
/// twice.
#[tokio::test]
async fn watch_continues_after_outage() {
    let (standin, platform) = start().await;
    let first = platform.put("a", "1", Condition::Any).await.unwrap();
    let mut watch = platform.watch("a", 0);
    assert_eq!(watch.next().await.version, first);
    standin.set_faults(Faults { down: true, ..Faults::default() });
    assert!(watch.poll_once().await.is_err());
    let second = standin.edit(|store| store.put("a", b"2".to_vec(), Precondition::None)).unwrap();
    let waiting = tokio::spawn(async move { watch.next().await.version });
    standin.set_faults(Faults::default());
    assert_eq!(waiting.await.unwrap(), second);
}

/// Guards against an unresponsive pooled connection that blocks later calls.
#[tokio::test]
async fn calls_recover_from_unresponsive_connection() {
    let (standin, platform) = start().await;
    platform.put("a", "1", Condition::Any).await.unwrap();
    standin.set_faults(Faults { silent: true, ..Faults::default() });
    assert_eq!(error_kind(&platform.get("a").await.unwrap_err()), "unavailable");
    standin.set_faults(Faults::default());
    assert!(platform.get("a").await.unwrap().is_some());
    assert_eq!(platform.counts().timeouts, 2);
}

/// Guards against an instance list that loses rows or the `leaving` flag.
#[tokio::test]
async fn instances_are_registered_marked_and_removed() {
    let (_standin, platform) = start().await;
    let instance = Instance {
        name: "atl-1".into(),
        http_address: "127.0.0.1:1".parse().unwrap(),
        peer_address: "127.0.0.1:2".parse().unwrap(),
        failure_domain: "hall-atl".into(),
        leaving: false,
    };
    platform.register(&instance).await.unwrap();
    platform.mark_leaving(&instance).await.unwrap();
    assert_eq!(
        platform.instances().await.unwrap(),
        [Instance { leaving: true, ..instance.clone() }]
    );
    assert!(platform.remove_instance("atl-1").await.unwrap());
    assert!(!platform.remove_instance("atl-1").await.unwrap());
    assert_eq!(platform.instances().await.unwrap(), []);
}

/// Guards against an instance list that cannot be read any more because of a single row.
#[tokio::test]
async fn row_that_cannot_be_read_hides_no_instance() {
    let row = Instance {
        name: "atl-1".into(),
        http_address: "127.0.0.1:1".parse().unwrap(),
        peer_address: "127.0.0.1:2".parse().unwrap(),
        failure_domain: "hall-atl".into(),
        leaving: false,
    };
    let text = serde_json::to_string(&row).unwrap();
    let nested = format!("{}{}", "[".repeat(300), "]".repeat(300));
    let cases: [(&str, &[u8]); 6] = [
        ("another type", b"7"),
        ("nested", nested.as_bytes()),
        ("number out of range", br#"{"name":1e999}"#),
        ("half of a character", br#"{"name":"\ud83d"}"#),
        ("not UTF-8", b"{\"name\":\"\xff\"}"),
        ("port out of range", br#"{"name":"a","httpAddress":"127.0.0.1:70000"}"#),
    ];
    for (name, odd) in cases {
        let body = [b"[", odd, b",", text.as_bytes(), b"]"].concat();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let settings = Settings::new(listener.local_addr().unwrap());
        let answering = tokio::spawn(async move {
            let (mut connection, _) = listener.accept().await.unwrap();
            let mut request = [0; 4096];
            assert!(connection.read(&mut request).await.unwrap() > 0);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            connection.write_all(&[head.as_bytes(), &body].concat()).await.unwrap();
            connection
        });
        let listed = PlatformClient::new(settings).instances().await;
        assert_eq!(listed.unwrap(), std::slice::from_ref(&row), "{name}");
        answering.await.unwrap();
    }
}

/// Guards against a list with keys that lack the prefix.
#[tokio::test]
async fn keys_are_listed_and_removed() {
    let (_standin, platform) = start().await;
    for key in ["plans/b", "plans/a", "other"] {
        platform.put(key, "1", Condition::Absent).await.unwrap();
    }
    assert_eq!(platform.list("plans/").await.unwrap(), ["plans/a", "plans/b"]);
    assert!(platform.delete("plans/a").await.unwrap());
    assert_eq!(platform.list("plans/").await.unwrap(), ["plans/b"]);
}
