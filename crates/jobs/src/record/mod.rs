//! What has to be written to the store before it may be acknowledged or shown.

mod cleanup_queue;
mod record_lane;
mod record_number;
mod write_queue;

pub use self::{
    cleanup_queue::CleanupQueue, record_lane::RecordLane, record_number::RecordNumber,
    write_queue::WriteQueue,
};
