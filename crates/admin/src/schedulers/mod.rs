//! Discovery of schedulers, calls to them, and the ownership of shards.

mod channels;
mod heartbeats;
mod member_table;
mod pool;
mod scheduler_report;
mod snapshot;
mod work_list;

pub(crate) use self::{
    channels::Channels, heartbeats::Heartbeats, member_table::MemberTable, pool::SchedulerPool,
    scheduler_report::SchedulerReport, snapshot::Snapshot, snapshot::domain_of,
    work_list::WorkList,
};
