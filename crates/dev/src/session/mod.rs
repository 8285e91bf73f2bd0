//! Sample session: all three kinds of work, repetitions, a refusal and an operator's change.

mod script;
mod session_client;

pub(crate) use self::script::run_session;
