//! Processor time and memory of own processes, from `/proc`.

use std::fs;

/// Clock ticks per second of `/proc/<id>/stat` on Linux.
const TICKS_PER_S: u64 = 100;
const US_PER_TICK: u64 = 1_000_000 / TICKS_PER_S;
/// Positions of user and system time after the command's closing bracket.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// Use of resources by one process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time, in microseconds.
    pub cpu_us: u64,
    /// Largest resident memory, in kilobytes.
    pub peak_memory_kb: u64,
}

/// Usage of a running process.
pub fn usage(id: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    Some(Usage { cpu_us: cpu_us(&stat)?, peak_memory_kb: peak_memory_kb(&status)? })
}

fn cpu_us(stat: &str) -> Option<u64> {
    let (_, fields) = stat.rsplit_once(") ")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let user: u64 = fields.get(USER_TIME_FIELD)?.parse().ok()?;
    let system: u64 = fields.get(SYSTEM_TIME_FIELD)?.parse().ok()?;
    Some((user + system) * US_PER_TICK)
}

fn peak_memory_kb(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.split_whitespace().next()?.parse().ok()
}
