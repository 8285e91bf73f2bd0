//! Authentication of operators.

mod authenticator;

pub(crate) use self::authenticator::Authenticator;
