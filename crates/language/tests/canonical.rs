//! Canonical forms of statements.

use lagoon_language::parse;

macro_rules! canonical {
    ($($name:ident: $text:literal => $printed:literal;)*) => {
        $(
            /// Guards against a canonical form that changes or parses to a different statement.
            #[test]
            fn $name() {
                let statement = parse($text).unwrap();
                assert_eq!(statement.to_string(), $printed);
                assert_eq!(parse($printed).as_ref(), Ok(&statement));
            }
        )*
    };
}

canonical! {
    show_all: "show  work" => "show work";
    show_every_clause:
        "show work where team=red count by state sort by count desc limit 5" =>
        "show work where team = red count by state sort by count desc limit 5";
    show_sorted: "show workers sort by claimed_cpu" => "show workers sort by claimed_cpu";
    show_policy: "show policy where key ~ queue" => "show policy where key ~ queue";
    units_are_normalized:
        "show work where age>=60000ms and memory<2048MiB and cpu != 1.5" =>
        "show work where age >= 1m and memory < 2GiB and cpu != 1500m";
    and_binds_closer_than_or:
        "show work where (state=held and team=red) or team=blue" =>
        "show work where state = held and team = red or team = blue";
    parentheses_that_matter:
        "show work where state=held and (team=red or team=blue)" =>
        "show work where state = held and (team = red or team = blue)";
    nested_and_keeps_its_tree:
        "show work where (state=held and team=red) and kind=gang" =>
        "show work where (state = held and team = red) and kind = gang";
    nested_or_keeps_its_tree:
        "show work where state=held or (team=red or kind=gang)" =>
        "show work where state = held or (team = red or kind = gang)";
    not_of_group:
        "show work where not (state=held or team=red)" =>
        "show work where not (state = held or team = red)";
    not_of_one: "show work where not(state=held)" => "show work where not state = held";
    text_in_quotes:
        r#"show work where reason ~ "a \"b\" \\ c""# =>
        r#"show work where reason ~ "a \"b\" \\ c""#;
    needless_quotes: r#"show work where team = "red""# => "show work where team = red";
    empty_text: r#"show work where reason != """# => r#"show work where reason != """#;
    keyword_as_value: "show work where team = and" => "show work where team = and";
    why: "why w:cluj:3:7:15" => "why w:cluj:3:7:15";
    cancel_works: "cancel w:cluj:3:7:15  w:cluj:3:7:16" => "cancel w:cluj:3:7:15 w:cluj:3:7:16";
    cancel_where: "cancel where team=red" => "cancel where team = red";
    hold: "hold where priority < 10" => "hold where priority < 10";
    release: "release w:cluj:3:7:15" => "release w:cluj:3:7:15";
    drain_host: "drain host h1" => "drain host h1";
    drain_rack: "drain rack cluj-r1" => "drain rack cluj-r1";
    undrain: "undrain host h1" => "undrain host h1";
    set_quota:
        "set team red quota cpu=64,memory=256GB" =>
        "set team red quota cpu=64000m,memory=256GB,accelerators=0";
    set_weight: "set team red weight 3" => "set team red weight 3";
    set_queue_limit: "set team red queue_limit 500" => "set team red queue_limit 500";
    set_guaranteed: "set kind batch guaranteed 30%" => "set kind batch guaranteed 30%";
    set_ceiling: "set kind gang ceiling 80%" => "set kind gang ceiling 80%";
    set_default_team: "set default_team.weight 2" => "set default_team.weight 2";
    set_queue: "set queue.bytes 134217728B" => "set queue.bytes 128MiB";
    set_health: "set health.rest 120s" => "set health.rest 2m";
    set_retry_budget: "set retry_budget_percent 10%" => "set retry_budget_percent 10%";
    set_service_with_dots:
        "set services.a.b.request_timeout 30s" => "set services.a.b.request_timeout 30s";
    set_repeatability:
        "set services.plan.repeatability restartable" =>
        "set services.plan.repeatability restartable";
    hand_over: "hand over cluj:3 to s2" => "hand over cluj:3 to s2";
    confirm_dead: "confirm dead host h1" => "confirm dead host h1";
    lines: "show work\n where state = held" => "show work where state = held";
}
