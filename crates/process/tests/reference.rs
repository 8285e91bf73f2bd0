//! Settings reference and its page docs/settings.md.

use std::collections::HashSet;

use lagoon_process::reference::{self, Kind};

const PAGE: &str = include_str!("../../../docs/settings.md");

/// Guards against a page that differs from the output of `lagoonctl explain`. To regenerate the page, run
/// `cargo run --bin lagoonctl -- explain > docs/settings.md`.
#[test]
fn page_is_current() {
    for (line, (written, rendered)) in PAGE.lines().zip(reference::page().lines()).enumerate() {
        assert_eq!(written, rendered, "line {}", line + 1);
    }
    let (written, rendered) = (PAGE.lines().count(), reference::page().lines().count());
    assert_eq!(written, rendered, "number of lines of the page");
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
    /// Guards against a key of two kinds of file that is found in only one of them.
    in_two_kinds: "shards" => ["gateway shards", "scheduler shards"];
    /// Guards against a lookup that accepts only the placeholder and not the name of a team.
    name_for_a_placeholder: "teams.turf.weight" => ["policy teams.TEAM.weight"];
    /// Guards against a mapping whose nested keys are not listed.
    keys_below: "lease" => ["scheduler lease", "scheduler lease.ttl", "scheduler lease.task_ttl",
        "scheduler lease.margin"];
    /// Guards against a prefix of a name that matches the whole name.
    part_of_a_key: "shard" => [];
    /// Guards against a nested key that matches its parent.
    longer_key: "shards.0" => [];
}

/// Guards against duplicate keys in one kind of file, against entries with an empty text, and against texts that break
/// the table.
#[test]
fn entries_are_distinct_and_whole() {
    for kind in Kind::ALL {
        let mut keys = HashSet::new();
        for entry in kind.entries() {
            assert!(
                keys.insert(entry.key),
                "duplicate entry for {kind} {}",
                entry.key
            );
            let texts = [entry.meaning, entry.unit, entry.range];
            let whole = texts.iter().all(|text| !text.is_empty());
            assert!(whole, "{kind} {} has an empty text", entry.key);
            let one_cell = [entry.meaning, entry.range]
                .iter()
                .all(|text| !text.contains('|'));
            assert!(
                one_cell,
                "{kind} {} has a text with a column separator",
                entry.key
            );
        }
    }
}

/// Guards against a kind that doesn't parse from its printed form.
#[test]
fn kinds_parse() {
    for kind in Kind::ALL {
        assert_eq!(kind.to_string().parse(), Ok(*kind));
    }
    assert!("admins".parse::<Kind>().is_err());
}
