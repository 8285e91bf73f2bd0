//! Who calls, and which teams' work a caller may see.

mod access_list;
mod caller;
mod token;

pub use self::token::Token;
pub(crate) use self::{access_list::AccessList, caller::Caller};
