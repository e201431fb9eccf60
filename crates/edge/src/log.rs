//! Structured logging that never blocks the process.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use tracing_subscriber::fmt::MakeWriter;

/// Largest number of bytes of log lines that wait to be written. Further lines are
/// dropped and counted.
const MAX_BUFFER_BYTES: usize = 256 * 1024;
/// Pause between two writes, so that many lines take one system call.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// Log lines in a bounded buffer, which a separate thread writes out.
#[derive(Clone, Debug, Default)]
pub struct Log {
    buffer: Arc<Mutex<Vec<u8>>>,
    dropped: Arc<AtomicU64>,
}

impl Log {
    /// Number of lines that were dropped because standard output was too slow.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Writes all buffered lines to standard output.
    pub fn flush(&self) {
        let lines = std::mem::take(&mut *self.lock());
        // If standard output is closed, the error cannot be reported anywhere.
        let _ = io::stdout().write_all(&lines);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<u8>> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, line: &[u8]) {
        let mut buffer = self.lock();
        if buffer.len() + line.len() > MAX_BUFFER_BYTES {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        } else {
            buffer.extend_from_slice(line);
        }
    }
}

/// Appends the bytes of one line to the log.
#[derive(Debug)]
pub struct LineWriter(Log);

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.append(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Log {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        LineWriter(self.clone())
    }
}

/// Installs a global subscriber that writes all log lines from level INFO on to
/// standard output as JSON.
pub fn init() -> Log {
    let log = Log::default();
    let flushed_log = log.clone();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_max_level(tracing::Level::INFO)
        .with_writer(log.clone())
        .finish();
    // Fails only if a test has installed another subscriber.
    let _ = tracing::subscriber::set_global_default(subscriber);
    thread::spawn(move || {
        loop {
            thread::sleep(WRITE_INTERVAL);
            flushed_log.flush();
        }
    });
    log
}
