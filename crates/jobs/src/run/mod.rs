//! Runs of tasks, from the request to start on an executor until the end is listed or the run can no longer exist.

mod active_run;
mod ended_run;
mod hold_outcome;
mod listing;
#[expect(clippy::module_inception, reason = "one type per file")]
mod run;
mod run_outcome;
mod run_phase;
mod run_table;
mod start_outcome;
mod start_refusal;

pub use self::{
    active_run::ActiveRun, ended_run::EndedRun, hold_outcome::HoldOutcome, listing::Listing,
    run::Run, run_outcome::RunOutcome, run_phase::RunPhase, run_table::RunTable,
    start_outcome::StartOutcome, start_refusal::StartRefusal,
};
