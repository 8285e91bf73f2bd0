//! Admission: whether a piece of work is accepted into the queue.
//!
//! Work is refused before it is queued, with a code for the reason, so refused work has never run. The caller of
//! [`Admission::check`] collects the state of the queue and the fleet in an [`AdmissionView`].
//!
//! Each kind of work has a guaranteed share of the queue; the rest is shared by all kinds. A flood of one kind can
//! therefore fill only its guaranteed share and the shared part.

mod admission_check;
mod admission_view;
mod feasibility;
mod queue_capacity;
mod queue_load;
mod start_rate_estimator;

pub use self::{
    admission_check::Admission, admission_view::AdmissionView, feasibility::Feasibility,
    queue_load::QueueLoad, start_rate_estimator::StartRateEstimator,
};
