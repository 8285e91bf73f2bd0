//! The reference of the settings and its page docs/settings.md.

use std::collections::HashSet;

use lagoon_process::reference::{self, Kind};

const PAGE: &str = include_str!("../../../docs/settings.md");

/// Guards against a page that tells operators something else than `lagoonctl explain`. To write it anew, run
/// `cargo run --bin lagoonctl -- explain > docs/settings.md`.
#[test]
fn page_is_current() {
    for (line, (written, rendered)) in PAGE.lines().zip(reference::page().lines()).enumerate() {
        assert_eq!(written, rendered, "line {}", line + 1);
    }
    let (written, rendered) = (PAGE.lines().count(), reference::page().lines().count());
    assert_eq!(written, rendered, "lines of the page");
}

macro_rules! found {
    ($($(#[$guard:meta])* $name:ident: $key:literal => [$($expected:literal),*];)*) => {
        $(
            $(#[$guard])*
            #[test]
            fn $name() {
                let found = reference::find($key);
                let keys: Vec<String> =
                    found.iter().map(|(kind, entry)| format!("{kind} {}", entry.key)).collect();
                assert_eq!(keys, [$($expected),*] as [&str; _]);
            }
        )*
    };
}

found! {
    /// Guards against a key that is found in one kind of file only.
    in_two_kinds: "shards" => ["gateway shards", "scheduler shards"];
    /// Guards against the name of a team that must be written as a placeholder.
    name_for_a_placeholder: "teams.turf.weight" => ["policy teams.TEAM.weight"];
    /// Guards against a key whose parts can't be listed.
    keys_below: "lease" => ["scheduler lease", "scheduler lease.ttl", "scheduler lease.task_ttl",
        "scheduler lease.margin"];
    /// Guards against a part of a key that is taken for the key.
    part_of_a_key: "shard" => [];
    /// Guards against a longer key that is taken for a shorter one.
    longer_key: "shards.0" => [];
}

/// Guards against a key with two entries in one kind of file, and against an entry without a text.
#[test]
fn entries_are_distinct_and_whole() {
    for kind in Kind::ALL {
        let mut keys = HashSet::new();
        for entry in kind.entries() {
            assert!(
                keys.insert(entry.key),
                "{kind} {} is there twice",
                entry.key
            );
            let texts = [entry.meaning, entry.unit, entry.range];
            let whole = texts.iter().all(|text| !text.is_empty());
            assert!(whole, "{kind} {} lacks a text", entry.key);
            let one_cell = [entry.meaning, entry.range]
                .iter()
                .all(|text| !text.contains('|'));
            assert!(one_cell, "{kind} {} breaks the table", entry.key);
        }
    }
}

/// Guards against a kind that can be printed but not read.
#[test]
fn kinds_parse() {
    for kind in Kind::ALL {
        assert_eq!(kind.to_string().parse(), Ok(*kind));
    }
    assert!("admins".parse::<Kind>().is_err());
}
