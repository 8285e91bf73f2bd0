//! Execution of queries: collects rows from the schedulers, the store and the audit trail, then filters, counts, sorts
//! and limits them.

mod changes;
mod policy_rows;
mod processes;
mod query_response;
mod row;
mod runner;
mod select;
mod shards;
mod source_age;
mod work_rows;

pub(crate) use self::{
    query_response::QueryResponse, runner::QueryRunner, work_rows::matches_work,
};
use self::{row::Row, source_age::SourceAge};
