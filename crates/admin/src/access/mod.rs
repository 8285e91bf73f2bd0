//! Who calls.

mod operators;
mod token;

pub(crate) use self::operators::Operators;
pub use self::token::Token;
