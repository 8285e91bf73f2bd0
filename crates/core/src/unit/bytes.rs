use std::fmt;
use std::str::FromStr;

use crate::unit::ParseUnitError;
use crate::util::parse::{split_suffix, to_exact_integer};

quantity_type!(
    /// An amount of memory or data in bytes.
    Bytes,
    u64
);

/// Suffixes and their sizes in bytes, in descending order.
const SUFFIXES: [(&str, u64); 7] = [
    ("GiB", 1 << 30),
    ("GB", 1_000_000_000),
    ("MiB", 1 << 20),
    ("MB", 1_000_000),
    ("KiB", 1 << 10),
    ("KB", 1_000),
    ("B", 1),
];

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let exact = |size: &u64| self.0 != 0 && self.0.is_multiple_of(*size);
        match SUFFIXES.iter().find(|(_, size)| exact(size)) {
            Some((suffix, size)) => write!(f, "{}{suffix}", self.0 / size),
            None => write!(f, "{}B", self.0),
        }
    }
}

impl FromStr for Bytes {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseUnitError::new(text, "a size such as 512MiB, 2GB or 100B");
        let (value, suffix) = split_suffix(text).ok_or_else(invalid)?;
        let (_, scale) = SUFFIXES
            .iter()
            .find(|(name, _)| *name == suffix)
            .ok_or_else(invalid)?;
        to_exact_integer(value * *scale as f64)
            .map(Self)
            .ok_or_else(invalid)
    }
}
