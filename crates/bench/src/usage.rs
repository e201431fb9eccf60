//! Processor time and memory of child processes and their threads, from `/proc`.

use std::fs;

/// Clock ticks per second in `/proc/<id>/stat` on Linux.
const TICKS_PER_S: u64 = 100;
const US_PER_TICK: u64 = 1_000_000 / TICKS_PER_S;
// Indexes of user and system time among the fields after the command name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;
/// Name of the routers' control thread.
const CONTROL_THREAD_NAME: &str = "control";
const NS_PER_US: u64 = 1_000;

/// Resource usage of one process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time, in microseconds.
    pub cpu_us: u64,
    /// Processor time of the control thread, in microseconds; 0 if there is none.
    pub control_cpu_us: u64,
    /// Resident memory, in kilobytes.
    pub memory_kb: u64,
    /// Largest resident memory, in kilobytes.
    pub peak_memory_kb: u64,
}

/// Reads the usage of a process. Returns `None` if it has ended.
pub fn process_usage(process_id: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{process_id}/stat")).ok()?;
    let status = fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
    Some(Usage {
        cpu_us: cpu_us(&stat)?,
        control_cpu_us: control_cpu_us(process_id).unwrap_or(0),
        memory_kb: memory_kb(&status, "VmRSS:")?,
        peak_memory_kb: memory_kb(&status, "VmHWM:")?,
    })
}

/// Reads the processor time of the control thread. Uses `schedstat`, which counts
/// nanoseconds: the ticks of `stat` are too coarse for a thread that uses 1% of a
/// processor.
fn control_cpu_us(process_id: u32) -> Option<u64> {
    let threads = fs::read_dir(format!("/proc/{process_id}/task")).ok()?;
    let control = threads.filter_map(Result::ok).map(|thread| thread.path()).find(|path| {
        fs::read_to_string(path.join("comm"))
            .is_ok_and(|name| name.trim_end() == CONTROL_THREAD_NAME)
    });
    let schedstat = fs::read_to_string(control?.join("schedstat")).ok()?;
    let on_cpu_ns: u64 = schedstat.split_whitespace().next()?.parse().ok()?;
    Some(on_cpu_ns / NS_PER_US)
}

fn cpu_us(stat: &str) -> Option<u64> {
    let (_, fields) = stat.rsplit_once(") ")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let user: u64 = fields.get(USER_TIME_FIELD)?.parse().ok()?;
    let system: u64 = fields.get(SYSTEM_TIME_FIELD)?.parse().ok()?;
    Some((user + system) * US_PER_TICK)
}

fn memory_kb(status: &str, field: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(field))?;
    line.split_whitespace().next()?.parse().ok()
}
