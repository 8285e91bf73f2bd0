//! The dispatcher: told what happened, it decides what is ordered next.
//!
//! Its life is in its type. A `Dispatcher<Recovering>` reads back the jobs of earlier owners and what executors run, and
//! orders nothing; [`Dispatcher::serve`] turns it into a `Dispatcher<Serving>`, which places work. A start is never
//! repeated elsewhere before the first one is known to be without effect.

mod adopt;
mod advised;
mod ask;
mod ask_for_each;
mod ask_for_gang;
mod cancel;
mod claims;
mod core;
mod dispatcher;
mod displace;
mod effect;
mod ends;
mod fleet_records;
mod hold;
mod hold_action;
mod hold_request;
mod inspect;
mod limits;
mod listing;
mod lives;
mod pass;
mod place_each;
mod place_gang;
mod plan;
mod precedence;
mod rank;
mod records;
mod replaced;
mod stage;
mod started;
mod stopped;
mod stored_job;
mod tenure;
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
    stored_job::StoredJob,
    view::{Backlog, JobView, QueueLoad},
};
