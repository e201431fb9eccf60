//! An upstream that writes scripted bytes, for answers that a proper HTTP server does
//! not give.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufStream},
    net::{TcpListener, TcpStream},
};

use crate::common::{MODEL, loopback};

/// Chunks of a scripted stream before the one that ends it.
pub const TOKENS: u64 = 6;
pub const DONE: &str = "data: [DONE]\n\n";

/// A `POST` that the upstream received.
#[derive(Clone, Debug)]
pub struct Received {
    /// Number of the connection, in order of their opening.
    pub connection: usize,
    pub id: String,
    /// Requests with this id that arrived before.
    pub earlier: usize,
    /// The offset that the router asks the stream to resume from.
    pub offset: Option<u64>,
}

/// Bytes that answer one request. Each part is written after a delay.
pub struct Script {
    pub parts: Vec<(u64, String)>,
    pub closes: bool,
}

impl Script {
    /// Writes `bytes` and keeps the connection.
    pub fn keep(bytes: impl Into<String>) -> Self {
        Self { parts: vec![(0, bytes.into())], closes: false }
    }

    /// Writes `bytes` and closes the connection in order.
    pub fn close(bytes: impl Into<String>) -> Self {
        Self { closes: true, ..Self::keep(bytes) }
    }
}

pub struct ScriptedUpstream {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
}

impl ScriptedUpstream {
    /// The requests so far, resumptions included.
    pub fn received(&self) -> Vec<Received> {
        lock(&self.received).clone()
    }

    /// How often the request with this id was sent, resumptions apart.
    pub fn sends(&self, id: &str) -> usize {
        self.received()
            .iter()
            .filter(|request| request.id == id && request.offset.is_none())
            .count()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts an upstream that answers each `POST` with the script that `script` returns.
/// Load polls and cancellations are answered properly.
pub async fn bind<F>(script: F) -> ScriptedUpstream
where
    F: Fn(&Received) -> Script + Send + Sync + 'static,
{
    let listener = TcpListener::bind(loopback()).await.expect("bind failed");
    let address = listener.local_addr().expect("no local address");
    let received = Arc::new(Mutex::new(Vec::new()));
    let (log, script) = (Arc::clone(&received), Arc::new(script));
    tokio::spawn(async move {
        let mut connection = 0;
        while let Ok((stream, _)) = listener.accept().await {
            connection += 1;
            let (log, script) = (Arc::clone(&log), Arc::clone(&script));
            tokio::spawn(async move {
                // Fails when the router closes the connection.
                let _ = serve(stream, connection, &log, &*script).await;
            });
        }
    });
    ScriptedUpstream { address, received }
}

async fn serve(
    stream: TcpStream,
    connection: usize,
    log: &Mutex<Vec<Received>>,
    script: &(dyn Fn(&Received) -> Script + Send + Sync),
) -> std::io::Result<()> {
    let mut stream = BufStream::new(stream);
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            if stream.read_until(b'\n', &mut head).await? == 0 {
                return Ok(());
            }
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let header = |name: &str| {
            let lines = head.lines().filter_map(|line| line.split_once(": "));
            lines.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let length = header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        stream.read_exact(&mut vec![0; length]).await?;
        let script = if head.starts_with("POST") {
            let id = header("x-request-id").unwrap_or_default();
            let offset = header("x-resume-offset").and_then(|text| text.parse().ok());
            let mut log = lock(log);
            let earlier = log.iter().filter(|request| request.id == id).count();
            let request = Received { connection, id, earlier, offset };
            log.push(request.clone());
            script(&request)
        } else {
            let load = r#"{"running":0,"waiting":0,"slots":64,"age_ms":0}"#;
            Script::keep(answer("200 OK", "application/json", "", load))
        };
        for (delay_ms, bytes) in script.parts {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            stream.write_all(bytes.as_bytes()).await?;
            stream.flush().await?;
        }
        if script.closes {
            return stream.shutdown().await;
        }
    }
}

/// An answer with a length. `headers` are complete lines.
pub fn answer(status: &str, content_type: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\ncontent-type: {content_type}\r\ncontent-length: {length}\r\n\
         {headers}\r\n{body}"
    )
}

/// The start of a stream that ends with its connection.
pub fn events(headers: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{headers}\r\n{body}")
}

/// The header with which an engine confirms the offset of a resumed stream.
pub fn offset_header(offset: u64) -> String {
    format!("x-resume-offset: {offset}\r\n")
}

/// Chunks `from` to `to` of the stream that answers the request with this id; the last
/// one says that the stream is finished.
pub fn chunks(id: &str, from: u64, to: u64) -> String {
    let chunk = |number| {
        let choice = if number < TOKENS {
            format!(r#"{{"index":0,"delta":{{"content":"t{number} "}}}}"#)
        } else {
            r#"{"index":0,"delta":{},"finish_reason":"stop"}"#.to_owned()
        };
        format!("data: {{\"id\":\"{id}\",\"model\":\"{MODEL}\",\"choices\":[{choice}]}}\n\n")
    };
    (from..to).map(chunk).collect()
}

/// All chunks from `from` on, and the end of the stream.
pub fn chunks_to_end(id: &str, from: u64) -> String {
    chunks(id, from, TOKENS + 1) + DONE
}

/// The text of a complete scripted answer.
pub fn whole_text() -> String {
    (0..TOKENS).map(|number| format!("t{number} ")).collect()
}

/// A whole completion for the request with this id.
pub fn completion(id: &str) -> String {
    let text = whole_text();
    format!(
        r#"{{"id":"{id}","choices":[{{"message":{{"role":"assistant","content":"{text}"}}}}]}}"#
    )
}

/// What an engine answers that resumes the request with this id.
pub fn resumed(id: &str, offset: u64, stream: bool) -> String {
    let body = if stream { chunks_to_end(id, offset) } else { completion(id) };
    let content_type = if stream { "text/event-stream" } else { "application/json" };
    answer("200 OK", content_type, &offset_header(offset), &body)
}
