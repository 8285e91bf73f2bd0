//! Changes that have to be durable in the store before they may be acknowledged to executors or shown to callers.

mod cleanup_queue;
mod record_lane;
mod record_number;
mod write_queue;

pub use self::{
    cleanup_queue::CleanupQueue, record_lane::RecordLane, record_number::RecordNumber,
    write_queue::WriteQueue,
};
