//! Sockets as the process uses them.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::TcpListener;

/// Connections that may wait to be accepted, for each thousandth of a core:
/// those that the process accepts and refuses in about a tenth of a second. With
/// more, callers of an overloaded process wait in vain for longer than their
/// targets.
const BACKLOG_PER_MILLICORE: f64 = 0.6;
/// Connections that may wait to be accepted at least; a burst of callers.
const MIN_BACKLOG: i32 = 64;
/// Connections that may wait at most; what the kernel grants by default.
const MAX_BACKLOG: i32 = 4_096;
/// Silence after which a connection is probed, and the pause between probes,
/// in seconds.
const KEEP_ALIVE_S: u64 = 1;
/// Unanswered probes after which a connection counts as silent.
const KEEP_ALIVE_PROBES: u32 = 2;

/// Sends small messages at once, and makes a connection fail when its other
/// end goes silent without a reset: after `unacknowledged_ms` milliseconds if
/// bytes were sent.
///
/// # Errors
///
/// The socket does not take the options.
pub fn prepare(socket: SockRef<'_>, unacknowledged_ms: u64) -> io::Result<()> {
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(Duration::from_millis(unacknowledged_ms)))?;
    let interval = Duration::from_secs(KEEP_ALIVE_S);
    let keep_alive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(KEEP_ALIVE_PROBES);
    socket.set_tcp_keepalive(&keep_alive)
}

/// Connections that may wait to be accepted by a process with
/// `processor_millicores` thousandths of a core; 0 if that is not told.
pub fn backlog(processor_millicores: u32) -> i32 {
    let most = match processor_millicores {
        0 => MAX_BACKLOG,
        told => (f64::from(told) * BACKLOG_PER_MILLICORE) as i32,
    };
    most.clamp(MIN_BACKLOG, MAX_BACKLOG)
}

/// Binds a listening socket whose connections are prepared as by [`prepare`].
/// They take the options over from it: setting them on each would be a third
/// of the system calls of a request that is refused.
///
/// # Errors
///
/// The address cannot be bound.
pub fn bind(address: SocketAddr, unacknowledged_ms: u64, backlog: i32) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    prepare(SockRef::from(&socket), unacknowledged_ms)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    TcpListener::from_std(socket.into())
}
