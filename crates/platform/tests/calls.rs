//! Calls against the stand-in, with its faults switched on one by one.
#![allow(clippy::unwrap_used)]

use span_platform::{Condition, Error, Instance, PlatformClient, Settings, WriteConfirmation};
use span_standin::objects::{self, Faults, Platform as Standin, Precondition};

async fn start() -> (Standin, PlatformClient) {
    let standin = objects::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let settings =
        Settings { call_timeout_ms: 200, watch_wait_ms: 50, ..Settings::new(standin.address()) };
    (standin, PlatformClient::new(settings))
}

fn kind(error: &Error) -> &'static str {
    match error {
        Error::Conflict { .. } => "conflict",
        Error::Rejected { .. } => "refused",
        Error::Unavailable { .. } => "unavailable",
        Error::EffectUnknown { .. } => "effect unknown",
    }
}

/// Guards against a write that may have taken effect being reported as one
/// that did not, and the reverse.
#[tokio::test]
async fn errors_tell_what_is_known_of_the_effect() {
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
            name: "bad key",
            faults: healthy(),
            key: "a b",
            condition: any,
            read: "refused",
            write: "refused",
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
            name: "answers lost",
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
        assert_eq!(read.as_ref().err().map_or("ok", kind), case.read, "{}", case.name);
        assert_eq!(write.as_ref().err().map_or("ok", kind), case.write, "{}", case.name);
    }
}

/// A refused connection is the one failure that proves a write did not happen.
#[tokio::test]
async fn refused_connection_leaves_no_doubt_about_a_write() {
    let (standin, platform) = start().await;
    standin.abort();
    tokio::task::yield_now().await;
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let other = PlatformClient::new(Settings::new(closed));
    drop(platform);
    let error = other.put("a", "1", Condition::Any).await.unwrap_err();
    assert_eq!(kind(&error), "unavailable");
}

/// Guards against a blind second write after a lost answer, which would make
/// the write conflict with itself.
#[tokio::test]
async fn lost_answers_are_resolved_by_reading_back() {
    let (standin, platform) = start().await;
    standin.set_faults(Faults { lose_write_answers: true, ..Faults::default() });
    let mine = |object: &span_platform::Object| object.value == "mine";
    let written =
        platform.put_confirmed("a", "mine".into(), Condition::Absent, mine).await.unwrap();
    let stored = platform.get("a").await.unwrap().unwrap();
    let version = stored.version;
    assert_eq!(&stored.value[..], b"mine");
    assert_eq!(written, WriteConfirmation::ReadBack(stored));
    assert_eq!(platform.counts().writes, 1);

    let late = Condition::Version(version);
    standin.edit(|store| store.put("a", b"theirs".to_vec(), Precondition::None)).unwrap();
    let error = platform.put_confirmed("a", "mine".into(), late, mine).await.unwrap_err();
    assert_eq!(kind(&error), "conflict");
}

/// Guards against an outage after a lost answer being taken for "not written".
#[tokio::test]
async fn effect_stays_unknown_while_nothing_can_be_read() {
    let (standin, platform) = start().await;
    standin.set_faults(Faults { down: true, ..Faults::default() });
    let result = platform.put_confirmed("a", "mine".into(), Condition::Absent, |_| false).await;
    assert_eq!(kind(&result.unwrap_err()), "effect unknown");
}

/// Guards against a watch that the platform left stale hiding a change for good.
#[tokio::test]
async fn stale_watch_is_overtaken_by_a_read() {
    let (standin, platform) = start().await;
    standin.set_faults(Faults { stale_watches: true, ..Faults::default() });
    let mut watch = platform.watch("a", 0);
    assert_eq!(watch.poll_once().await.unwrap(), None);
    let version = platform.put("a", "1", Condition::Any).await.unwrap();
    assert_eq!(watch.next().await.version, version);
    assert_eq!(platform.wait_for_change("a", 0, 10).await.unwrap(), None, "the fault is in force");
}

/// Guards against a watch that ends in an outage or repeats what it returned.
#[tokio::test]
async fn watch_waits_through_an_outage() {
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

/// Guards against a silent connection in the pool blocking the calls after it.
#[tokio::test]
async fn calls_recover_from_a_silent_connection() {
    let (standin, platform) = start().await;
    platform.put("a", "1", Condition::Any).await.unwrap();
    standin.set_faults(Faults { silent: true, ..Faults::default() });
    assert_eq!(kind(&platform.get("a").await.unwrap_err()), "unavailable");
    standin.set_faults(Faults::default());
    assert!(platform.get("a").await.unwrap().is_some());
    assert_eq!(platform.counts().timeouts, 2);
}

/// Guards against the list losing members or the leaving mark.
#[tokio::test]
async fn instances_register_leave_and_go() {
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

/// Guards against keys being listed under a prefix that they do not have.
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
