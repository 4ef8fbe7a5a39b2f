//! Processor time and memory of a process, read from `/proc`.

use std::time::{Duration, Instant};

use crate::measure_error::MeasureError;

/// Clock ticks per second of the processor times in `/proc`; fixed on Linux.
const TICKS_PER_SECOND: u64 = 100;

/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Number of fields in `/proc/PID/stat` between the process name and the processor times.
const FIELDS_BEFORE_TIMES: usize = 11;

/// Resource usage of a process at one point in time.
#[derive(Clone, Copy, Debug)]
pub struct ProcessStats {
    /// Processor time used so far.
    pub cpu: Duration,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    read_at: Instant,
}

impl ProcessStats {
    /// Reads the resource usage of a process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not exist or its memory usage cannot be parsed.
    pub fn read(pid: u32) -> Result<Self, MeasureError> {
        let stat = read_proc_file(pid, "stat")?;
        let rest = stat
            .rsplit_once(')')
            .map(|(_, rest)| rest)
            .unwrap_or_default();
        let times = rest.split_whitespace().skip(FIELDS_BEFORE_TIMES).take(2);
        let ticks: u64 = times.filter_map(|text| text.parse::<u64>().ok()).sum();
        let statm = read_proc_file(pid, "statm")?;
        let pages = statm
            .split_whitespace()
            .nth(1)
            .and_then(|text| text.parse::<u64>().ok());
        let pages = pages.ok_or_else(|| MeasureError::Process(pid, "statm is malformed".into()))?;
        Ok(Self {
            cpu: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
            resident_bytes: pages * PAGE_BYTES,
            read_at: Instant::now(),
        })
    }

    /// Returns the mean processor usage since an earlier reading, in percent of a core.
    #[must_use]
    pub fn cpu_percent_since(&self, earlier: &Self) -> f64 {
        let cpu = self.cpu.saturating_sub(earlier.cpu).as_secs_f64();
        100.0 * cpu / self.read_at.duration_since(earlier.read_at).as_secs_f64()
    }
}

fn read_proc_file(pid: u32, file: &str) -> Result<String, MeasureError> {
    std::fs::read_to_string(format!("/proc/{pid}/{file}"))
        .map_err(|e| MeasureError::Process(pid, e.to_string()))
}
