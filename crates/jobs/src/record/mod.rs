//! What has to be written to the store before it may be acknowledged or shown.

mod ledger;
mod leftovers;
mod record_lane;
mod record_number;

pub use self::{
    ledger::Ledger, leftovers::Leftovers, record_lane::RecordLane, record_number::RecordNumber,
};
