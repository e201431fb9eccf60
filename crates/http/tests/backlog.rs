//! Connections that wait in the kernel when a server stops to listen.

use std::{
    fs::File,
    io::{ErrorKind, Read, Write},
    net::TcpStream,
    process::Command,
};

use span_http::{AnswerEnd, Backlog, OrderlyCloseStream};
use tokio::net::TcpListener;

/// Runs this test alone, in a process that may open few files, and then returns false.
fn has_few_files(test: &str) -> bool {
    const VARIABLE: &str = "SPAN_TEST_HAS_FEW_FILES";
    if std::env::var_os(VARIABLE).is_some() {
        return true;
    }
    let program = std::env::current_exe().expect("the test has a path");
    let script = "ulimit -n 128 && exec \"$0\" --exact \"$1\"";
    let mut command = Command::new("sh");
    command.arg("-c").arg(script).arg(program).arg(test).env(VARIABLE, "1");
    assert!(command.status().expect("cannot run sh").success());
    false
}

/// Guards against waiting connections that are closed unread because the process has no
/// descriptor for a moment.
#[tokio::test]
async fn connections_are_taken_once_a_descriptor_is_free() {
    if !has_few_files("connections_are_taken_once_a_descriptor_is_free") {
        return;
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    let callers: Vec<_> =
        (0..10).map(|_| TcpStream::connect(address).expect("it listens")).collect();
    let mut files: Vec<File> = std::iter::from_fn(|| File::open("/dev/null").ok()).collect();
    let mut backlog = Backlog::new(listener);
    let release = async move {
        while files.pop().is_some() {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    };
    let mut taken = Vec::new();
    let take = async {
        while let Some(connection) = backlog.next().await {
            taken.push(connection);
        }
    };
    tokio::join!(release, take);
    // Callers that come later do not wait in vain.
    assert!(TcpStream::connect(address).is_err(), "the listener is open");
    let is_open = |mut caller: &TcpStream| {
        caller.set_nonblocking(true).expect("a socket");
        matches!(caller.read(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
    };
    assert_eq!(taken.len(), callers.len());
    assert!(callers.iter().all(is_open));
}

/// Guards against bytes that wait in the kernel and are taken for none, because the runtime has
/// not noticed them: the end of a connection is decided by this.
#[tokio::test]
async fn bytes_that_the_runtime_has_not_noticed_are_read() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    let mut caller = TcpStream::connect(address).expect("it listens");
    let (stream, _) = listener.accept().await.expect("a caller waits");
    let stream = OrderlyCloseStream::new(stream, AnswerEnd::default());
    let mut bytes = [0; 8];
    assert_eq!(stream.read_arrived(&mut bytes).expect("an open stream"), 0);
    caller.write_all(b"head").expect("an open stream");
    // The runtime does not run between the write and this.
    assert_eq!(stream.read_arrived(&mut bytes).expect("an open stream"), 4);
    assert_eq!(&bytes[..4], b"head");
}
