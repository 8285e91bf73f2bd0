use std::fmt;
use std::str::FromStr;

use serde::Serialize;

use crate::reference::{Entry, common, gateway, node, policy, scheduler};

/// Kind of file described by the reference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Settings of `lagoon-gateway`.
    Gateway,
    /// Settings of `lagoon-scheduler`.
    Scheduler,
    /// Settings of `lagoon-node`.
    Node,
    /// The policy document.
    Policy,
}

impl Kind {
    /// All kinds, in the order of the page.
    pub const ALL: &[Self] = &[Self::Gateway, Self::Scheduler, Self::Node, Self::Policy];

    /// Returns the keys of the kind in the order of the page.
    pub fn entries(self) -> impl Iterator<Item = &'static Entry> {
        let (own, shared) = match self {
            Self::Gateway => (gateway::ENTRIES, common::ENTRIES),
            Self::Scheduler => (scheduler::ENTRIES, common::ENTRIES),
            Self::Node => (node::ENTRIES, &[][..]),
            Self::Policy => (policy::ENTRIES, &[][..]),
        };
        own.iter().chain(shared)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Gateway => "gateway",
            Self::Scheduler => "scheduler",
            Self::Node => "node",
            Self::Policy => "policy",
        })
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut all = Self::ALL.iter().copied();
        let found = all.find(|kind| kind.to_string() == text);
        found.ok_or_else(|| {
            format!("{text:?} is not valid: expected gateway, scheduler, node or policy")
        })
    }
}
