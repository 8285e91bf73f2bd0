use std::fs;

use crate::harness::BoxError;

/// Memory and descriptors of a process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Usage {
    /// Largest resident memory since the start of the process, in bytes.
    pub(crate) peak_memory: u64,
    /// Number of open descriptors.
    pub(crate) descriptors: usize,
}

impl Usage {
    /// Reads the usage of a process.
    pub(crate) fn of(process: u32) -> Result<Self, BoxError> {
        let status = fs::read_to_string(format!("/proc/{process}/status"))?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|text| text.trim().strip_suffix(" kB"));
        let peak: u64 = peak.ok_or("the process has no VmHWM")?.parse()?;
        Ok(Self {
            peak_memory: peak << 10,
            descriptors: fs::read_dir(format!("/proc/{process}/fd"))?.count(),
        })
    }
}
