//! Follows the operators' configuration. A version applies as soon as it arrives, and an older one never replaces it.

mod follow;

pub(crate) use self::follow::{follow, read_latest};
