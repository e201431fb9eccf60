//! Processes of an experiment. Each is stopped by its own id.

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
const READY_PREFIX: &str = "listening on ";

/// A process could not be run.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The operating system refused.
    #[error("{program}: {source}")]
    Io {
        /// Program concerned.
        program: String,
        /// Why it failed.
        source: io::Error,
    },
    /// The program did not tell its address.
    #[error("{program} did not start; see {log}")]
    NotReady {
        /// Program concerned.
        program: String,
        /// File with its messages.
        log: String,
    },
}

/// A running process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    program: String,
    child: Child,
    address: SocketAddr,
    /// Keeps the pipe open; a program that prints to a closed one fails.
    _stdout: BufReader<ChildStdout>,
}

/// The folder of the programs: that of this program, or the one above it for a
/// test, which Cargo puts in `deps`.
///
/// # Errors
///
/// Fails if the path of this program is not known.
pub fn programs() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().unwrap_or(Path::new(""));
    let above = folder.parent().filter(|_| folder.ends_with("deps"));
    Ok(above.unwrap_or(folder).to_path_buf())
}

/// Starts a program and waits until it tells its address. Its messages go to a
/// file in `folder`.
///
/// # Errors
///
/// Fails if the program cannot be started or does not tell its address.
pub async fn start(
    program: &str,
    name: &str,
    folder: &Path,
    args: &[String],
) -> Result<Process, ProcessError> {
    let failed = |source| ProcessError::Io { program: program.to_owned(), source };
    let log = folder.join(format!("{name}.log"));
    let stderr = File::options().create(true).append(true).open(&log).map_err(failed)?;
    let mut child = Command::new(programs().map_err(failed)?.join(program))
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(stderr)
        .kill_on_drop(true)
        .spawn()
        .map_err(failed)?;
    let not_ready =
        || ProcessError::NotReady { program: name.to_owned(), log: log.display().to_string() };
    let mut stdout = BufReader::new(child.stdout.take().ok_or_else(not_ready)?);
    let address = tokio::time::timeout(START_TIMEOUT, address(&mut stdout)).await;
    let address = address.ok().flatten().ok_or_else(not_ready)?;
    Ok(Process { program: program.to_owned(), child, address, _stdout: stdout })
}

async fn address(stdout: &mut BufReader<ChildStdout>) -> Option<SocketAddr> {
    let mut line = String::new();
    while stdout.read_line(&mut line).await.ok()? > 0 {
        if let Some(address) = line.trim().strip_prefix(READY_PREFIX) {
            return address.parse().ok();
        }
        line.clear();
    }
    None
}

impl Process {
    /// Address that the program listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Id of the process while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal to this process alone.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
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

    /// Waits for the end of the process; false if it still runs after `limit`.
    pub async fn ended(&mut self, limit: Duration) -> bool {
        tokio::time::timeout(limit, self.child.wait()).await.is_ok()
    }

    fn error(&self, source: io::Error) -> ProcessError {
        ProcessError::Io { program: self.program.clone(), source }
    }
}
