//! Memory of this process.

/// Page size of the supported systems.
const PAGE: u64 = 4_096;

/// Returns the resident memory in bytes; zero where it can't be read.
pub(super) fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE
}
