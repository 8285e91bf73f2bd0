//! Audit trail: who sent which command, when, what it was expected to do and what came of it.
//!
//! Records are appended to segments in the store (`audit/segment/<number>`), each below the store's value limit. The
//! oldest segments are deleted, so the trail is bounded. A change of the policy writes a record of the intent first and
//! a second record of the result afterwards, so that no policy change takes effect without a record. A command to a
//! shard writes one record of the result; while the store is down it waits in memory and is marked as late.
//!
//! One task owns the trail. It writes everything that arrived during the previous write in one write.

mod append;
mod audit_log;
mod change_result;
mod policy_mark;
mod record;
mod record_time;
mod segment;
mod segment_write;
mod trail;
mod writer;

use self::{append::Append, segment::Segment, segment_write::SegmentWrite, trail::Trail};
pub(crate) use self::{
    audit_log::{AuditLog, Found},
    change_result::ChangeResult,
    policy_mark::PolicyMark,
    record::Record,
    record_time::RecordTime,
    writer::Writer,
};

/// Prefix of the keys of the trail.
const PREFIX: &str = "audit/";
