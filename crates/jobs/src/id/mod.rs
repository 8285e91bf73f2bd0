//! Identifiers of jobs and of their parts.
//!
//! The id of a task contains the id of its step, and the id of a step contains the id of its job:
//!
//! ```
//! use lagoon_jobs::id::TaskKey;
//!
//! let task: TaskKey = "5c0e7a21d94b36f8.0.1.17".parse().unwrap();
//! assert_eq!(task.step().to_string(), "5c0e7a21d94b36f8.0.1");
//! assert_eq!(task.index(), 17);
//! ```

mod advice_ticket;
mod checkpoint;
mod incarnation;
mod job_id;
mod label;
mod member_id;
mod queue_name;
mod run_number;
mod step_key;
mod task_key;

pub use self::{
    advice_ticket::AdviceTicket, checkpoint::Checkpoint, incarnation::Incarnation, job_id::JobId,
    label::Label, member_id::MemberId, queue_name::QueueName, run_number::RunNumber,
    step_key::StepKey, task_key::TaskKey,
};
pub use lagoon_core::id::{Epoch, ExecutorId, ServiceName};
