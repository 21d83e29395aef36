//! CPU time of processes, from `/proc`.

use std::fs;

/// Clock ticks per second in `/proc/PID/stat`; Linux reports 100 on all common
/// architectures, independent of the kernel's timer frequency.
pub(crate) const TICKS_PER_S: u64 = 100;

/// Parses the sum of user and system time, in ticks of 10 ms, from the content of
/// `/proc/PID/stat`.
///
/// ```
/// let stat = "7 (a (b) c) S 1 7 7 0 -1 0 0 0 0 0 12 30 0 0 20 0 1 0 5";
/// assert_eq!(jasminepond_load::cpu_ticks(stat), Some(42));
/// ```
pub fn cpu_ticks(stat: &str) -> Option<u64> {
    // The command name may contain spaces and parentheses, so the fields are
    // counted from its closing parenthesis.
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

/// CPU time of a process in ms; `None` if the process does not exist.
pub(crate) fn cpu_ms(pid: u32) -> Option<u64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    Some(cpu_ticks(&stat)? * 1000 / TICKS_PER_S)
}
