//! Options of TCP sockets.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::TcpListener;

/// Backlog per thousandth of a core: connections that the process can accept and
/// reject in about a tenth of a second. With more, callers of an overloaded
/// process wait for longer than their latency targets, only to be rejected.
const BACKLOG_PER_MILLICORE: f64 = 0.6;
/// Smallest backlog; suffices for a burst of callers.
const MIN_BACKLOG: i32 = 64;
/// Largest backlog; the kernel's default limit.
const MAX_BACKLOG: i32 = 4_096;
/// Idle time after which a connection is probed, and the interval between probes,
/// in seconds.
const KEEP_ALIVE_INTERVAL_S: u64 = 1;
/// Unanswered probes after which a connection fails.
const KEEP_ALIVE_PROBES: u32 = 2;

/// Sets the options of a TCP socket: no delay of small messages, keep-alive
/// probes, and a failure if sent bytes stay unacknowledged for
/// `unacknowledged_ms` milliseconds. A peer that disappears without a reset is
/// thus noticed.
///
/// # Errors
///
/// The socket does not accept the options.
pub fn set_options(socket: SockRef<'_>, unacknowledged_ms: u64) -> io::Result<()> {
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(Duration::from_millis(unacknowledged_ms)))?;
    let interval = Duration::from_secs(KEEP_ALIVE_INTERVAL_S);
    let keep_alive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(KEEP_ALIVE_PROBES);
    socket.set_tcp_keepalive(&keep_alive)
}

/// Number of connections that may wait to be accepted by a process with
/// `processor_millicores` thousandths of a core, or 0 if that is unknown.
pub fn backlog(processor_millicores: u32) -> i32 {
    let backlog = match processor_millicores {
        0 => MAX_BACKLOG,
        millicores => (f64::from(millicores) * BACKLOG_PER_MILLICORE) as i32,
    };
    backlog.clamp(MIN_BACKLOG, MAX_BACKLOG)
}

/// Binds a listening socket with the options of [`set_options`]. Accepted
/// connections inherit them: setting them on each connection would be a third of
/// the system calls of a rejected request.
///
/// # Errors
///
/// The address cannot be bound.
pub fn bind(address: SocketAddr, unacknowledged_ms: u64, backlog: i32) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    set_options(SockRef::from(&socket), unacknowledged_ms)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    TcpListener::from_std(socket.into())
}
