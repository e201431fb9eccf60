//! Starts and stops the processes of an experiment, each by its own process id.

use std::{
    fs::File,
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Stdio,
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::{Child, ChildStdout, Command},
};

const START_TIMEOUT: Duration = Duration::from_secs(10);
const READY_LINE_PREFIX: &str = "listening on ";

/// A process could not be started or controlled.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// A call to the operating system failed.
    #[error("{program}: {source}")]
    Io {
        /// Name of the program.
        program: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The program ended or ran into the time limit before it printed its address.
    #[error(
        "{program} ended or printed no address within {} s; see {log}",
        START_TIMEOUT.as_secs()
    )]
    NotReady {
        /// Name of the process, which its log file has too.
        program: String,
        /// File with its log.
        log: String,
    },
}

/// A running process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    program: String,
    child: Child,
    address: SocketAddr,
    /// Keeps the pipe open, because a program that prints to a closed pipe fails.
    _stdout: BufReader<ChildStdout>,
}

/// Returns the folder of the programs: that of this program, or its parent if this
/// is a test, which Cargo puts in `deps`.
///
/// # Errors
///
/// Fails if the path of this program is unknown.
pub fn program_folder() -> io::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let folder = executable.parent().unwrap_or(Path::new(""));
    let parent = folder.parent().filter(|_| folder.ends_with("deps"));
    Ok(parent.unwrap_or(folder).to_path_buf())
}

/// Starts a program and waits until it prints its address. Its standard error is
/// appended to `NAME.log` in `folder`.
///
/// # Errors
///
/// Fails if the program cannot be started or does not print its address in time.
pub async fn start(
    program: &str,
    name: &str,
    folder: &Path,
    args: &[String],
) -> Result<Process, ProcessError> {
    let io_error = |source| ProcessError::Io { program: program.to_owned(), source };
    let log = folder.join(format!("{name}.log"));
    let stderr = File::options().create(true).append(true).open(&log).map_err(io_error)?;
    let mut child = Command::new(program_folder().map_err(io_error)?.join(program))
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(stderr)
        .kill_on_drop(true)
        .spawn()
        .map_err(io_error)?;
    let not_ready =
        || ProcessError::NotReady { program: name.to_owned(), log: log.display().to_string() };
    let mut stdout = BufReader::new(child.stdout.take().ok_or_else(not_ready)?);
    let address = tokio::time::timeout(START_TIMEOUT, read_address(&mut stdout)).await;
    let address = address.ok().flatten().ok_or_else(not_ready)?;
    Ok(Process { program: program.to_owned(), child, address, _stdout: stdout })
}

async fn read_address(stdout: &mut BufReader<ChildStdout>) -> Option<SocketAddr> {
    let mut line = String::new();
    while stdout.read_line(&mut line).await.ok()? > 0 {
        if let Some(address) = line.trim().strip_prefix(READY_LINE_PREFIX) {
            return address.parse().ok();
        }
        line.clear();
    }
    None
}

impl Process {
    /// Returns the address that the program listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the process id; `None` once the process was killed or its exit awaited.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal to this process only.
    ///
    /// # Errors
    ///
    /// Fails if the process has no id any more or the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let pid = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        let pid = pid.ok_or_else(|| self.error(io::ErrorKind::NotFound.into()))?;
        kill_process(pid, signal).map_err(|errno| self.error(errno.into()))
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be killed.
    pub async fn kill(&mut self) -> Result<(), ProcessError> {
        let killed = self.child.kill().await;
        killed.map_err(|source| self.error(source))
    }

    /// Waits for the process to exit. Returns false if it still runs after `limit`.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> bool {
        tokio::time::timeout(limit, self.child.wait()).await.is_ok()
    }

    fn error(&self, source: io::Error) -> ProcessError {
        ProcessError::Io { program: self.program.clone(), source }
    }
}
