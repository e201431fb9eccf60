//! Connections that wait in the kernel when a server stops to listen.

use std::{io, net::SocketAddr, time::Duration};

use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, most often for lack of descriptors.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Failed accepts in succession after which the rest is given up.
const MAX_FAILURES: u32 = 50;

/// The connections that the kernel has accepted for a listener; their callers may have sent
/// requests. The listener is closed once none is left.
#[derive(Debug)]
pub struct Backlog {
    /// None once it is closed, or if it cannot be used without the runtime.
    listener: Option<std::net::TcpListener>,
}

impl Backlog {
    /// The backlog of `listener`, which accepts no more by itself.
    pub fn new(listener: TcpListener) -> Self {
        let listener = listener.into_std().inspect_err(|error| {
            tracing::warn!(%error, "connections that wait to be accepted are closed");
        });
        Self { listener: listener.ok() }
    }

    /// The next connection; none once no more wait. Waits for a free descriptor if need be, but
    /// not without end.
    pub async fn next(&mut self) -> Option<(TcpStream, SocketAddr)> {
        let next = self.accept().await;
        if next.is_none() {
            // Callers that come now have to learn at once that nobody listens.
            self.listener = None;
        }
        next
    }

    async fn accept(&self) -> Option<(TcpStream, SocketAddr)> {
        let listener = self.listener.as_ref()?;
        let mut failures = 0;
        loop {
            let accepted = listener.accept().and_then(|(stream, peer)| {
                stream.set_nonblocking(true)?;
                Ok((TcpStream::from_std(stream)?, peer))
            });
            let error = match accepted {
                Ok(accepted) => return Some(accepted),
                Err(error) => error,
            };
            match error.kind() {
                io::ErrorKind::WouldBlock => return None,
                // The caller has left, or a signal came.
                io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted => continue,
                _ if failures < MAX_FAILURES => failures += 1,
                _ => {
                    tracing::warn!(%error, "connections that wait to be accepted are closed");
                    return None;
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}
