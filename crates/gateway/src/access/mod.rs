//! Authentication of callers, and authorization by team.

mod access_list;
mod caller;

pub(crate) use self::{access_list::AccessList, caller::Caller};
