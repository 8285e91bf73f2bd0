//! Memory use of this process.

/// Memory page size of the supported systems.
const PAGE_BYTES: u64 = 4_096;

/// Returns the resident memory in bytes, or 0 if it can't be read.
pub(super) fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}
