//! Calls to the owners of shards, with the rule that decides which calls are repeated.

mod attempt;
mod channels;
mod forwarder;
mod next_step;
mod repeat;
mod target;

pub(crate) use self::{
    attempt::Attempt,
    channels::Channels,
    forwarder::{Client, Forwarder},
    next_step::NextStep,
    repeat::Repeat,
    target::Target,
};
