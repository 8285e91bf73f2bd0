//! Calls to the owners of shards, and the decision which calls are retried.

mod call_outcome;
mod channels;
mod forwarder;
mod retry_decision;
mod retry_policy;
mod target;

pub(crate) use self::{
    call_outcome::CallOutcome,
    channels::Channels,
    forwarder::{Client, Forwarder},
    retry_decision::RetryDecision,
    retry_policy::RetryPolicy,
    target::Target,
};
