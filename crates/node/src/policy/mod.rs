//! Follows the operators' configuration. A version applies as soon as it arrives, and an older one never replaces it.
//!
//! After a pause of the process, requests wait until the configuration has been read again.

mod detect_pauses;
mod follow;
mod guard;
mod read_confirmed;

pub(crate) use self::{
    detect_pauses::detect_pauses,
    follow::{follow, read_latest},
    guard::PolicyGuard,
    read_confirmed::read_confirmed,
};
