//! The dispatcher: takes in events and decides which [`Effect`]s its driver carries out.
//!
//! Its type is its stage. A `Dispatcher<Recovering>` loads the jobs of earlier owners and the runs that executors list, and
//! starts nothing; [`Dispatcher::serve`] turns it into a `Dispatcher<Serving>`, which places work. A task is never started
//! again elsewhere before its earlier start is known to have no effect.

mod adopt;
mod advice_received;
mod cancel;
mod core;
mod dispatcher;
mod effect;
mod ends;
mod executor_records;
mod gang_reservations;
mod hold;
mod hold_action;
mod hold_request;
mod incarnation;
mod inspect;
mod last_runs;
mod limits;
mod listing;
mod ownership;
mod pass;
mod place_gang;
mod place_tasks;
mod plan;
mod preempt;
mod preemption;
mod rank;
mod records;
mod replaced;
mod request_advice;
mod request_gang_advice;
mod request_task_advice;
mod stage;
mod start_connections;
mod started;
mod stopped;
mod stored_job;
mod tick;
mod unknown_jobs;
mod view;

pub use self::{
    dispatcher::Dispatcher,
    effect::{AdviceRequest, Effect, StartRequest, StopRequest},
    hold_action::HoldAction,
    hold_request::HoldRequest,
    limits::DispatchLimits,
    stage::{Recovering, Serving},
    start_connections::StartConnections,
    stored_job::StoredJob,
    view::{Backlog, JobView, QueueLoad},
};
