//! An upstream that writes bytes without end.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufStream},
    net::{TcpSocket, TcpStream},
};

use crate::{common::loopback, scripted};

const SEND_BUFFER_BYTES: u32 = 64 * 1024;
/// Size of one write.
const BLOCK_BYTES: usize = 16 * 1024;

/// Bytes that the kernel takes on a connection without a reader: its largest receive buffer
/// and the send buffer, which it doubles.
pub fn kernel_bytes() -> u64 {
    let sizes = std::fs::read_to_string("/proc/sys/net/ipv4/tcp_rmem").expect("no tcp_rmem");
    let largest = sizes.split_whitespace().last().and_then(|size| size.parse::<u64>().ok());
    largest.expect("no number") + 2 * u64::from(SEND_BUFFER_BYTES) + BLOCK_BYTES as u64
}

type MakeAnswer = fn(&str) -> String;

#[derive(Default)]
struct State {
    start: String,
    block: String,
    /// Whether load reports have no end, and not other answers.
    is_load_endless: bool,
    proper: Mutex<Option<MakeAnswer>>,
    open: Arc<AtomicU64>,
    closed: Arc<AtomicU64>,
    most_written: Arc<AtomicU64>,
}

pub struct EndlessUpstream {
    pub address: SocketAddr,
    /// Endless answers whose reader has not closed the connection.
    pub open: Arc<AtomicU64>,
    /// Endless answers whose reader has.
    pub closed: Arc<AtomicU64>,
    /// Bytes of the longest answer.
    pub most_written: Arc<AtomicU64>,
    state: Arc<State>,
}

impl EndlessUpstream {
    /// Answers each `POST` with `start` and then `piece` again and again.
    pub async fn bind(start: String, piece: &str) -> Self {
        Self::start(start, piece, false).await
    }

    /// Answers load polls so.
    pub async fn bind_with_loads(start: String, piece: &str) -> Self {
        Self::start(start, piece, true).await
    }

    async fn start(start: String, piece: &str, is_load_endless: bool) -> Self {
        let socket = TcpSocket::new_v4().expect("no socket");
        socket.set_send_buffer_size(SEND_BUFFER_BYTES).expect("no buffer size");
        socket.bind(loopback()).expect("bind failed");
        let listener = socket.listen(1024).expect("listen failed");
        let block = piece.repeat(BLOCK_BYTES.div_ceil(piece.len()));
        let state = Arc::new(State { start, block, is_load_endless, ..State::default() });
        let serving = Arc::clone(&state);
        let address = listener.local_addr().expect("no local address");
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = Arc::clone(&serving);
                tokio::spawn(async move {
                    // Fails when the router closes the connection.
                    let _ = serve(stream, &state).await;
                });
            }
        });
        let (open, closed) = (Arc::clone(&state.open), Arc::clone(&state.closed));
        Self { address, open, closed, most_written: Arc::clone(&state.most_written), state }
    }

    /// Answers each later `POST` with what `make` returns for the id of the request.
    pub fn answer_properly(&self, make: MakeAnswer) {
        *self.state.proper.lock().unwrap_or_else(PoisonError::into_inner) = Some(make);
    }
}

async fn serve(stream: TcpStream, state: &State) -> std::io::Result<()> {
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
        let proper = *state.proper.lock().unwrap_or_else(PoisonError::into_inner);
        let load = r#"{"running":0,"waiting":0,"slots":64,"age_ms":0}"#;
        let answer = match (head.starts_with("POST"), proper) {
            (true, Some(make)) => make(&header("x-request-id").unwrap_or_default()),
            (is_post, _) if is_post != state.is_load_endless => {
                state.open.fetch_add(1, Ordering::Relaxed);
                let failed = write_endlessly(&mut stream, state).await;
                state.open.fetch_sub(1, Ordering::Relaxed);
                state.closed.fetch_add(1, Ordering::Relaxed);
                return failed;
            }
            _ => scripted::answer("200 OK", "application/json", "", load),
        };
        stream.write_all(answer.as_bytes()).await?;
        stream.flush().await?;
    }
}

async fn write_endlessly(stream: &mut BufStream<TcpStream>, state: &State) -> std::io::Result<()> {
    let stream = stream.get_mut();
    stream.write_all(state.start.as_bytes()).await?;
    let mut written = state.start.len() as u64;
    loop {
        stream.write_all(state.block.as_bytes()).await?;
        written += state.block.len() as u64;
        state.most_written.fetch_max(written, Ordering::Relaxed);
    }
}
