//! Follows the operators' configuration. A version applies as soon as it arrives, and an older one never replaces it.
//!
//! After a pause of the process, requests wait until the configuration has been read again. Requests for a queue that the
//! configuration does not have wait for a read that they share, because the queue may have been added just now.

mod detect_pauses;
mod finished_read;
mod follow;
mod guard;
mod read_confirmed;
mod shared_read;

pub(crate) use self::{
    detect_pauses::detect_pauses, follow::follow, guard::PolicyGuard,
    read_confirmed::read_confirmed, shared_read::SharedRead,
};
