//! Free ports for processes whose addresses must be known before they start.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU16, Ordering},
};

/// Start of a range below the one that Linux uses for outgoing connections. A port
/// from that range can be taken between its choice and its use, which made a router
/// fail to bind in one of ten runs.
const FIRST_PORT: u16 = 12_000;
const PORT_COUNT: u16 = 20_000;
/// Distance between the first ports of processes with consecutive ids, so that
/// concurrent runs choose different ports.
const PORTS_PER_PROCESS: u32 = 50;

static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address that no process listens on and that this process has
/// not chosen before.
///
/// # Errors
///
/// Fails if no port is free.
pub fn find_free_address() -> io::Result<SocketAddr> {
    let process_offset = std::process::id().wrapping_mul(PORTS_PER_PROCESS) % u32::from(PORT_COUNT);
    for _ in 0..PORT_COUNT {
        let offset = u32::from(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed)) + process_offset;
        let port = FIRST_PORT + (offset % u32::from(PORT_COUNT)) as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
