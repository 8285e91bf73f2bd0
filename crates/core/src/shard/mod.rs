//! The state of a shard and all scheduling decisions about the work whose home it is.
//!
//! [`Shard`] combines the queues, the fleet, the tickets and the journal, and keeps one record per piece of work. It
//! takes events with the time at which they happened and produces [`Effect`]s: calls that the daemon makes and replies
//! that it sends. Nothing is sent while the state is being changed, so one lock per shard is enough.
//!
//! Retries of the same work are recognised by ticket, by a key in the journal, or not at all ([`Deduplication`]). For
//! journalled work, callers get no reply before the journal entry is durable.

mod abandon;
mod admission;
mod adopt;
mod after_stop;
mod borrow;
mod borrow_plan;
mod borrowed_workers;
mod borrower;
mod borrowing;
mod cancel;
mod command_log;
mod commit;
mod completion;
mod dead_host;
mod deduplication;
mod drain;
mod effect;
mod executor_record;
mod executor_spec;
mod executor_view;
mod expire;
mod fence;
mod gang_wait;
mod hand_over;
mod hand_over_snapshot;
mod hand_over_step;
mod heartbeat;
mod heartbeat_report;
mod invariant;
mod lend;
mod pending_starts;
mod place_up_to;
mod placement_state;
mod recover;
mod reply;
mod reported_placement;
mod request_result;
mod requests;
mod reservation;
mod reservation_id;
mod reserved_placement;
mod schedule;
mod shard_config;
mod shard_event;
mod shard_lifecycle;
mod shard_phase;
mod shard_state;
mod shard_view;
mod slot_table;
mod start_result;
mod store_response;
mod submission;
mod submit;
mod task_phase;
mod task_placement;
mod task_report;
mod tasks;
mod unconfirmed_refusal;
mod view;
mod waiter_id;
mod withdraw;
mod work_record;
mod work_view;
mod worker_assignment;
mod worker_record;
mod worker_spec;
mod worker_use;
mod worker_view;

pub use self::{
    borrow_plan::BorrowPlan, borrower::Borrower, deduplication::Deduplication, effect::Effect,
    executor_spec::ExecutorSpec, executor_view::ExecutorView, hand_over_snapshot::HandOverSnapshot,
    heartbeat_report::HeartbeatReport, reply::Reply, request_result::RequestResult,
    reservation_id::ReservationId, reserved_placement::ReservedPlacement,
    shard_config::ShardConfig, shard_event::ShardEvent, shard_lifecycle::ShardLifecycle,
    shard_phase::ShardPhase, shard_state::Shard, shard_view::ShardView, start_result::StartResult,
    store_response::StoreResponse, submission::Submission, task_phase::TaskPhase,
    task_report::TaskReport, waiter_id::WaiterId, work_view::WorkView, worker_spec::WorkerSpec,
    worker_view::WorkerView,
};
