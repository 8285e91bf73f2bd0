//! The page docs/glossary.md.

use lagoon_core::work::{WorkKind, WorkState};

const PAGE: &str = include_str!("../../../docs/glossary.md");

fn rows() -> Vec<Vec<&'static str>> {
    let rows = PAGE.lines().filter(|line| line.starts_with("| ")).skip(2);
    rows.map(|line| line.trim_matches('|').split('|').map(str::trim).collect())
        .collect()
}

fn terms() -> Vec<&'static str> {
    rows().into_iter().map(|row| row[0]).collect()
}

/// Returns the name without the qualifier in parentheses.
fn plain(name: &str) -> &str {
    name.split(" (").next().unwrap()
}

/// Guards against a row without the standard term, the meaning or the cell of the old name, which is "-" if the term was
/// not renamed.
#[test]
fn lines_are_whole() {
    assert!(rows().len() > 50);
    for row in rows() {
        assert!(
            row.len() == 4 && row.iter().all(|cell| !cell.is_empty()),
            "{row:?}"
        );
        assert!(row[2].ends_with('.'), "{row:?}");
    }
}

/// Guards against a duplicate term and against rows out of alphabetical order.
#[test]
fn names_are_in_order() {
    let names: Vec<String> = terms()
        .iter()
        .map(|name| plain(name).to_lowercase())
        .collect();
    assert!(names.is_sorted(), "{names:?}");
    let mut all = terms();
    all.sort_unstable();
    all.dedup();
    assert_eq!(all.len(), names.len(), "duplicate name");
}

/// Guards against a renamed term that is listed twice, or an old name that is still the name of its own line.
#[test]
fn old_names_are_listed_once() {
    let renamed: Vec<_> = rows().into_iter().filter(|row| row[3] != "-").collect();
    let mut old_names: Vec<_> = renamed.iter().map(|row| row[3]).collect();
    old_names.sort_unstable();
    old_names.dedup();
    assert_eq!(old_names.len(), renamed.len(), "an old name is there twice");
    for row in renamed {
        assert!(!terms().contains(&row[3]), "{row:?}");
    }
}

macro_rules! mapped {
    ($($(#[$guard:meta])* $name:ident: $term:literal => $standard:literal;)*) => {
        $(
            $(#[$guard])*
            #[test]
            fn $name() {
                let found = rows().into_iter().find(|row| plain(row[0]) == $term);
                let row = found.unwrap_or_else(|| panic!("{} is not in the glossary", $term));
                assert!(row[1].split(", ").any(|term| term == $standard), "{row:?}");
            }
        )*
    };
}

mapped! {
    /// Guards against a missing entry for the term machine.
    host: "host" => "machine";
    /// Guards against a missing entry for the term zone.
    failure_domain: "failure domain" => "zone";
    /// Guards against a missing entry for the term customer.
    caller: "caller" => "customer";
    /// Guards against a missing entry for the term back end.
    backend_server: "backend server" => "back end";
    /// Guards against a missing entry for the term partition.
    shard: "shard" => "partition";
    /// Guards against a missing entry for the term of a leader.
    epoch: "epoch" => "term";
    /// Guards against a missing entry for the term write-ahead log.
    journal: "journal" => "write-ahead log";
    /// Guards against a missing entry for the term tenant.
    team: "team" => "tenant";
}

/// Guards against names of the API and of the modules of `lagoon_core` that the glossary doesn't explain.
#[test]
fn names_of_the_code_are_explained() {
    let states = [WorkState::Held, WorkState::Unresolved];
    let states = states.iter().map(|state| state.as_str().to_owned());
    let kinds = [
        "lease",
        "ticket",
        "journal",
        "placement",
        "admission",
        "membership",
        "policy",
    ];
    let ids = [
        "command id",
        "executor",
        "host",
        "incarnation",
        "rack",
        "service",
        "task",
        "worker",
    ];
    let parts = [
        "head",
        "segment",
        "snapshot",
        "fencing",
        "handover",
        "reservation",
        "gang job",
    ];
    let names = kinds
        .iter()
        .chain(&ids)
        .chain(&parts)
        .map(|name| (*name).to_owned());
    let terms = terms();
    for name in names.chain(states) {
        assert!(terms.iter().any(|term| plain(term) == name), "{name}");
    }
    assert_eq!(
        WorkKind::ALL.len(),
        3,
        "a new kind of work needs a row in the glossary"
    );
}
