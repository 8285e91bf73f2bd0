//! Marginal cost in memory and time of a worker, task, ticket or journal entry.

mod encoded;
mod journal_slope;
mod line;
mod memory;
mod queue_slope;
pub(crate) mod slopes;
mod start_slope;
mod ticket_slope;
mod worker_slope;

pub(crate) use self::line::Line;
