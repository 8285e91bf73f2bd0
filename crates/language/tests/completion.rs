//! Completion candidates.

use lagoon_language::complete;

macro_rules! completes {
    ($($name:ident: $prefix:literal => [$($text:literal),*];)*) => {
        $(
            /// Guards against candidates that the grammar does not accept at this position.
            #[test]
            fn $name() {
                let found = complete($prefix);
                let found: Vec<&str> = found.iter().map(|candidate| candidate.text()).collect();
                let expected: &[&str] = &[$($text),*];
                assert_eq!(found, expected);
            }
        )*
    };
}

completes! {
    first_word: "" =>
        ["show", "why", "cancel", "hold", "release", "drain", "undrain", "set", "hand", "confirm"];
    part_of_a_word: "s" => ["show", "set"];
    tables: "show w" => ["work", "workers"];
    clauses: "show work " => ["where", "count", "sort", "limit"];
    fields: "show work where st" => ["state"];
    after_a_condition: "show work where state = held " =>
        ["and", "or", "count", "sort", "limit"];
    value: "show work where age > " => ["a duration such as 300ms, 5s, 2m or 1h"];
    kinds: "set kind " => ["service", "batch", "gang"];
    team_fields: "set team red " => ["quota", "weight", "queue_limit"];
    keys: "set health.r" => ["health.rest", "health.rested_share_cap_percent"];
    places: "drain " => ["host", "rack"];
    after_an_error: "show wrok where " => [];
    complete_statement: "drain host h1 " => [];
}

/// Guards against a wrong start offset, with which a prompt would replace the wrong part of the line.
#[test]
fn start_of_the_word() {
    let found = complete("show work where st");
    assert_eq!(found[0].start(), "show work where ".len());
    assert!(!found[0].is_hint());
    assert!(complete("show work limit ")[0].is_hint());
}
