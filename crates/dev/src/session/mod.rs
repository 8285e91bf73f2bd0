//! The sample session: all three kinds of work, a repeat and a refusal.

mod player;
mod script;

pub(crate) use self::script::play;
