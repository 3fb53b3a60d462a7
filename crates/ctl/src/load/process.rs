//! Processor time and memory of a process, read from `/proc`.

use anyhow::Context as _;

// Linux reports processor time in clock ticks (`USER_HZ`) of 1/100 s on every architecture.
const TICKS_PER_S: f64 = 100.0;
const BYTES_PER_KB: u64 = 1_024;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    /// Processor time since its start, in seconds.
    pub(crate) processor_s: f64,
    /// Resident memory, in bytes.
    pub(crate) memory_bytes: u64,
}

/// Reads the resource usage of the process `pid`.
///
/// # Errors
///
/// Returns an error if there is no such process or `/proc` cannot be read.
pub(crate) fn usage(pid: u32) -> anyhow::Result<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))
        .with_context(|| format!("no process {pid}"))?;
    // The second field, the program name, is in parentheses and may contain spaces.
    let (_, fields) = stat
        .rsplit_once(')')
        .context("/proc/PID/stat is malformed")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| -> anyhow::Result<f64> {
        let field = fields.get(index).context("/proc/PID/stat is too short")?;
        Ok(field.parse()?)
    };
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let resident_kb: u64 = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next())
        .context("/proc/PID/status has no VmRSS")?
        .parse()?;
    Ok(Usage {
        // Fields 14 (utime) and 15 (stime) of the file; the indices count from the field after the
        // program name.
        processor_s: (ticks(11)? + ticks(12)?) / TICKS_PER_S,
        memory_bytes: resident_kb * BYTES_PER_KB,
    })
}
