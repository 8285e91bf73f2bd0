//! Syntax errors at each level of the grammar: position, found text and expected alternatives.

use lagoon_language::parse;

macro_rules! errors {
    ($($name:ident: $text:expr;)*) => {
        $(
            /// Guards against an error with the wrong position or the wrong alternatives.
            #[test]
            fn $name() {
                let text = $text;
                let error = parse(&text).unwrap_err();
                insta::assert_snapshot!(stringify!($name), error.render(&text));
            }
        )*
    };
}

errors! {
    empty: "";
    unknown_statement: "shwo work";
    unknown_table: "show wrok";
    clause_misspelled: "show work wher state = held";
    clauses_out_of_order: "show work limit 3 where state = held";
    unknown_field: "show shards where team = red";
    missing_operator: "show work where state held";
    contains_on_a_number: "show work where priority ~ 5";
    missing_value: "show work where state =";
    age_without_unit: "show work where age > 5";
    size_with_wrong_unit: "show work where memory > 5GBB";
    negative_number: "show work where priority > -5";
    open_parenthesis: "show work where (state = held";
    open_quote: "show work where reason ~ \"no room";
    dangling_and: "show work where state = held and";
    too_deep: format!("show work where {}state = held", "not ".repeat(33));
    sort_of_counts: "show work count by state sort by team";
    limit_not_a_number: "show work limit many";
    why_without_work: "why";
    work_id_cut_off: "cancel w:cluj:3:7";
    cancel_nothing: "cancel";
    drain_nothing: "drain h1";
    host_name_with_a_slash: "drain host a/b";
    set_unknown_key: "set queue.length 3";
    set_unknown_team_field: "set team red limit 3";
    set_quota_without_unit: "set team red quota cpu=4,memory=5";
    set_unknown_kind: "set kind service-request ceiling 5%";
    set_percentage_without_sign: "set kind batch ceiling 50";
    set_journal: "set services.plan.journal yes";
    hand_over_without_process: "hand over cluj:3 to";
    confirm_dead_process: "confirm dead process s1";
    text_after_the_end: "drain host h1 h2";
    position_counts_characters: "show work where reason ~ \"Ploiești\" or stat = held";
}

/// Guards against unbounded parsing time for oversized input.
#[test]
fn too_long() {
    let text = format!("cancel{}", " w:cluj:3:7:15".repeat(10_000));
    let error = parse(&text).unwrap_err();
    assert_eq!(error.expected(), ["a text of at most 64 KiB"]);
}
