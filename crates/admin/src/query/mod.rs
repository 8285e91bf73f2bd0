//! Answers to queries: rows from the schedulers, the store and the audit trail, then filtered, counted, sorted and
//! limited.

mod answer;
mod changes;
mod part_age;
mod policy_rows;
mod processes;
mod row;
mod runner;
mod select;
mod shards;
mod work_rows;

pub(crate) use self::{answer::Answer, runner::Queries, work_rows::matches_work};
use self::{part_age::PartAge, row::Row};
