//! Guards against an intent process that a signal ends at once, with requests open.
#![allow(clippy::unwrap_used)]

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_rosemaryspan-intent");
const SETTINGS: &str = "instance: i1\nintent_address: 127.0.0.1:0\nplatform_address: 127.0.0.1:1\n";

fn file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

fn spawn(settings: &PathBuf) -> Child {
    let mut program = Command::new(PROGRAM);
    program.arg("--settings").arg(settings).stdout(Stdio::piped()).stderr(Stdio::piped());
    program.spawn().unwrap()
}

fn signal(child: &Child, name: &str) {
    let id = child.id().to_string();
    assert!(Command::new("kill").args([&format!("-{name}"), &id]).status().unwrap().success());
}

/// Guards against SIGHUP, with which operators let processes read their settings again, as
/// the end of the process.
#[test]
fn hangup_does_not_end_the_process() {
    let path = file("intent-hangup.yaml");
    std::fs::write(&path, SETTINGS).unwrap();
    let mut child = spawn(&path);
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let address: SocketAddr = line.trim().strip_prefix("listening on ").unwrap().parse().unwrap();
    signal(&child, "HUP");
    let mut log = BufReader::new(child.stderr.take().unwrap()).lines();
    assert!(log.any(|line| line.unwrap().contains("SIGHUP")), "the process has ended");
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(b"GET /nothing HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
    signal(&child, "TERM");
    assert!(child.wait().unwrap().success());
}

/// Guards against a process that a signal ends at once while it starts, when it may already
/// have taken requests.
#[test]
fn signal_at_the_start_is_handled() {
    let path = file("intent-early.fifo");
    let _ = std::fs::remove_file(&path);
    assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
    let mut child = spawn(&path);
    // Waits until the process reads its settings.
    let mut settings = std::fs::File::options().write(true).open(&path).unwrap();
    signal(&child, "TERM");
    // Fails if the process has ended.
    let _ = settings.write_all(SETTINGS.as_bytes());
    drop(settings);
    let status = child.wait().unwrap();
    assert!(status.success(), "{status}");
}
