//! The sample session: all three kinds of work, a repeat and a refusal.

mod script;
mod session_client;

pub(crate) use self::script::run_session;
