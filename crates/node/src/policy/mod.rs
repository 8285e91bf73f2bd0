//! Follows the operators' configuration. A version is in force as soon as it arrives, and never an older one after it.

mod follow;

pub(crate) use self::follow::{follow, read_latest};
