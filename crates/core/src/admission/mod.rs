//! Admission: whether a piece of work is accepted into the queue.
//!
//! Everything is refused before it is queued, with a code that says what was wrong, so that a refused piece of work never
//! ran. The caller of [`Admission::check`] gathers the state of the queue and fleet in an [`AdmissionView`].
//!
//! Each kind of work is guaranteed its share of the queue's slots; the rest is open to all kinds. A flood of one kind can
//! therefore fill only its own part and the open part.

mod admission_check;
mod admission_view;
mod feasibility;
mod queue_load;
mod queue_room;
mod start_rate_estimator;

pub use self::{
    admission_check::Admission, admission_view::AdmissionView, feasibility::Feasibility,
    queue_load::QueueLoad, start_rate_estimator::StartRateEstimator,
};
