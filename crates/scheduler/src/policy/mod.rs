//! The policy document, read from the store and from peers. The version in force never decreases.

mod policy_cell;
mod watch;

pub(crate) use self::{policy_cell::PolicyCell, watch::watch};

/// Key of the policy document in the store.
pub(crate) const POLICY_KEY: &str = "policy";
