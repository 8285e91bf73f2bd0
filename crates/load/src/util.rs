//! Small helpers.

use std::fmt::Debug;
use std::str::FromStr;

use lagoon_core::unit::{Bytes, Millicores, Resources};

/// Parses a name that this crate wrote itself.
pub(crate) fn name<T>(text: &str) -> T
where
    T: FromStr,
    T::Err: Debug,
{
    text.parse().expect("names of this crate are valid")
}

/// Returns processors in whole cores and memory in whole GiB.
pub(crate) fn sized(cores: u64, gib: u64) -> Resources {
    Resources::new(Millicores::new(cores * 1_000), Bytes::new(gib << 30))
}
