//! Who calls, and which teams' work a caller may see.

mod access_list;
mod caller;

pub(crate) use self::{access_list::AccessList, caller::Caller};
