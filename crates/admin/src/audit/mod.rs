//! Audit trail: who sent which command and when, its expected effect and its result.
//!
//! Records are appended to segments in the store (`audit/segment/<number>`), each below the store's value size limit. The
//! oldest segments are deleted, so the size of the trail is bounded. A policy change writes a record of its intent before
//! and a record of its result after the write, so that no policy change takes effect without a record. A command to
//! shards writes only a record of its result; while the store is down, that record waits in memory and is marked as late.
//!
//! A single task owns the trail. Records that arrive during a write are batched into the next write.

mod append_request;
mod audit_log;
mod change_result;
mod policy_fingerprint;
mod record;
mod record_time;
mod segment;
mod segment_write;
mod trail;
mod writer;

use self::{
    append_request::AppendRequest, segment::Segment, segment_write::SegmentWrite, trail::Trail,
};
pub(crate) use self::{
    audit_log::{AuditLog, RecordLookup},
    change_result::ChangeResult,
    policy_fingerprint::PolicyFingerprint,
    record::Record,
    record_time::RecordTime,
    writer::AuditWriter,
};

/// Key prefix of the trail in the store.
const PREFIX: &str = "audit/";
