//! Identifiers. Each kind is a newtype, so that the compiler rejects an id of the wrong kind.
//!
//! Composite ids contain their shard, so that every process can route to the owner without a directory lookup:
//!
//! ```
//! use lagoon_core::id::WorkId;
//!
//! let work: WorkId = "w:cluj:3:7:15".parse().unwrap();
//! assert_eq!(work.shard().to_string(), "cluj:3");
//! assert_eq!(work.to_string(), "w:cluj:3:7:15");
//! ```

mod attempt;
mod caller_id;
mod command_id;
mod epoch;
mod executor_id;
mod failure_domain;
mod host_id;
mod incarnation;
mod parse_id_error;
mod policy_version;
mod process_id;
mod rack_id;
mod request_key;
mod sequence;
mod service_name;
mod shard_id;
mod shard_number;
mod task_id;
mod task_index;
mod team_id;
mod ticket;
mod work_id;
mod worker_id;

pub use self::parse_id_error::is_valid_name;
pub use self::{
    attempt::Attempt, caller_id::CallerId, command_id::CommandId, epoch::Epoch,
    executor_id::ExecutorId, failure_domain::FailureDomain, host_id::HostId,
    incarnation::Incarnation, parse_id_error::ParseIdError, policy_version::PolicyVersion,
    process_id::ProcessId, rack_id::RackId, request_key::RequestKey, sequence::Sequence,
    service_name::ServiceName, shard_id::ShardId, shard_number::ShardNumber, task_id::TaskId,
    task_index::TaskIndex, team_id::TeamId, ticket::Ticket, work_id::WorkId, worker_id::WorkerId,
};
