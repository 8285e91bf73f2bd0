//! The schedulers: which ones there are, what they answer, and who owns which shard.

mod calls;
mod channels;
mod heartbeats;
mod member_table;
mod part;
mod snapshot;
mod work_list;

pub(crate) use self::{
    calls::Fleet, channels::Channels, heartbeats::Heartbeats, member_table::MemberTable,
    part::Part, snapshot::Snapshot, snapshot::domain_of, work_list::WorkList,
};
