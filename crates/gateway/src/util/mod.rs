//! Private helpers.

mod sharded;

pub(crate) use self::sharded::Sharded;
