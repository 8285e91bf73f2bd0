//! Who calls.

mod operators;

pub(crate) use self::operators::Operators;
