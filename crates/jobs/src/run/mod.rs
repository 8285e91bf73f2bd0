//! Runs: a task that was ordered to start on an executor, until its end is listed or it can't exist any more.

mod end_kind;
mod ended_row;
mod hold_outcome;
mod listing;
#[expect(clippy::module_inception, reason = "one type per file")]
mod run;
mod run_phase;
mod run_table;
mod running_row;
mod start_outcome;
mod start_refusal;

pub use self::{
    end_kind::EndKind, ended_row::EndedRow, hold_outcome::HoldOutcome, listing::Listing, run::Run,
    run_phase::RunPhase, run_table::RunTable, running_row::RunningRow, start_outcome::StartOutcome,
    start_refusal::StartRefusal,
};
