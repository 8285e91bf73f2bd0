//! Scenarios by name.

mod case;
mod deployments;
mod faults;
mod floods;
mod options;
mod packing;
mod policy_kind;
mod size;
mod starvation;
mod times;

use crate::bench::{cost, domains};
use crate::report::ScenarioReport;
use crate::slope::slopes;

pub(crate) use self::{case::Case, policy_kind::PolicyKind};
pub use self::{options::Options, size::Size};

type Run = fn(&Options) -> Vec<ScenarioReport>;

/// All scenarios: name, description and function.
const SCENARIOS: &[(&str, &str, Run)] = &[
    (
        "deployments",
        "both deployments under steady load",
        deployments::run,
    ),
    (
        "flood-least",
        "ten times the capacity of the least urgent work",
        floods::least,
    ),
    (
        "flood-urgent",
        "ten times the capacity of the most urgent work",
        floods::urgent,
    ),
    ("cancel", "cancellation of half the queue", faults::cancel),
    (
        "failing",
        "a fifth of the workers fails everything",
        faults::failing,
    ),
    (
        "wrong-sizes",
        "sizes and run times wrong by up to 4 times",
        faults::wrong_sizes,
    ),
    ("rack-lost", "a rack is lost", faults::rack_lost),
    (
        "starvation",
        "the largest gang job behind small work",
        starvation::run,
    ),
    (
        "packing",
        "use of the fleet at the first refusal",
        packing::run,
    ),
    ("domains", "decision code at the target size", domains::run),
    ("cost", "decision cost by fleet size", cost::run),
    (
        "slopes",
        "memory and time by size of the state",
        slopes::run,
    ),
];

/// Returns the names and descriptions of all scenarios.
pub fn names() -> impl Iterator<Item = (&'static str, &'static str)> {
    SCENARIOS.iter().map(|(name, about, _)| (*name, *about))
}

/// Runs a scenario. Returns `None` if there is no scenario of this name.
pub fn run_scenario(name: &str, options: &Options) -> Option<Vec<ScenarioReport>> {
    let found = SCENARIOS.iter().find(|(known, _, _)| *known == name);
    found.map(|(_, _, run)| run(options))
}
