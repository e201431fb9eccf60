//! Free ports for processes that need to know their addresses in advance.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU16, Ordering},
};

/// Ports below the range that Linux gives to outgoing connections. A port from
/// that range can be taken between its choice and its use: a router then failed
/// to bind in one of ten runs.
const FIRST_PORT: u16 = 12_000;
const PORTS: u16 = 20_000;
/// Distance between the first ports of concurrent runs.
const PORTS_PER_PROCESS: u32 = 50;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// A loopback address that nothing listens on now, and that this process did
/// not choose before.
///
/// # Errors
///
/// Fails if no port is free.
pub fn free_address() -> io::Result<SocketAddr> {
    let own = std::process::id().wrapping_mul(PORTS_PER_PROCESS) % u32::from(PORTS);
    for _ in 0..PORTS {
        let next = u32::from(NEXT.fetch_add(1, Ordering::Relaxed)) + own;
        let port = FIRST_PORT + (next % u32::from(PORTS)) as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
