//! The commands that need no gateway: `check` and `explain`.

use std::io::Write;

/// Runs a command without a gateway. `FILE` in the arguments is replaced by the path of a file that contains `text`.
async fn run(args: &str, text: &str) -> (u8, String) {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(text.as_bytes()).unwrap();
    let path = file.path().to_str().unwrap();
    let args: Vec<&str> = args
        .split(' ')
        .map(|arg| if arg == "FILE" { path } else { arg })
        .collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let code = lagoon_ctl::run(&args, None, &mut out, &mut err).await;
    let printed = [out, err].concat();
    (
        code,
        String::from_utf8(printed).unwrap().replace(path, "FILE"),
    )
}

macro_rules! printed {
    ($($(#[$guard:meta])* $name:ident: $args:literal, $text:literal => $code:literal, [$($part:literal),*];)*) => {
        $(
            $(#[$guard])*
            #[tokio::test]
            async fn $name() {
                let (code, printed) = run($args, $text).await;
                assert_eq!(code, $code, "{printed}");
                let parts: &[&str] = &[$($part),*];
                for part in parts {
                    assert!(printed.contains(part), "no {part:?} in {printed}");
                }
            }
        )*
    };
}

printed! {
    /// Guards against a valid policy that the check rejects.
    valid_policy: "check FILE", "version: 1\nservices: {s: {}}" => 0, ["FILE: valid"];
    /// Guards against a policy in JSON that the check can't parse.
    valid_policy_in_json: "check FILE", "{\"version\": 1,\n\t\"teams\": {}}" => 0, ["FILE: valid"];
    /// Guards against a check that stops at the first problem or reports the result code of another kind of file.
    all_problems_of_a_policy: "check FILE", "version: 0\nqeue: {}\nhealth: {rest: x}\nteams: {a: {weight: 0}}"
        => 2, ["5006 invalid_policy", "FILE: version: ", "FILE: qeue: ", "FILE: health.rest: ",
            "FILE: teams.a.weight: ", "FILE: teams.a.quota: "];
    /// Guards against a check that accepts settings which the daemon rejects.
    all_problems_of_a_gateway: "check --kind gateway FILE", "process: g\nshards: 0\nlisten: here\nschedulers: []"
        => 2, ["7001 invalid_settings", "FILE: shards: ", "FILE: listen: ", "FILE: schedulers: ",
            "FILE: failure_domain: "];
    /// Guards against a scheduler's settings that are checked as another kind of file.
    all_problems_of_a_scheduler: "check --kind scheduler FILE", "lease: {ttl: 5}\nheartbeat: 1ms"
        => 2, ["7001 invalid_settings", "FILE: lease.ttl: ", "FILE: heartbeat: ", "FILE: store: "];
    /// Guards against a policy that is accepted as the settings of a daemon.
    wrong_kind_of_file: "check --kind gateway FILE", "version: 1" => 2, ["FILE: version: unknown field"];
    /// Guards against an unknown kind that is ignored.
    unknown_kind: "check --kind worker FILE", "version: 1" => 2, ["expected gateway, scheduler, node or policy"];
    /// Guards against a missing file that is reported as valid.
    missing_file: "check /nowhere/policy.yaml", "" => 2, ["/nowhere/policy.yaml", "can't be read"];
    /// Guards against text that is neither YAML nor JSON and is treated as an empty document.
    no_document: "check FILE", "{" => 2, ["FILE: is not valid YAML"];
    /// Guards against an entry without its meaning, unit, default or range.
    explain_a_key: "explain team_in_flight_share", ""
        => 0, ["gateway: team_in_flight_share: Share of", "unit: percentage; default: 50%; range: 1% to 100%"];
    /// Guards against a key of two kinds of file that is explained for only one of them.
    explain_in_two_kinds: "explain shards", "" => 0, ["gateway: shards: ", "scheduler: shards: "];
    /// Guards against a reference that scripts can't parse.
    explain_as_json: "--output json explain queue.items", "" => 0, ["\"kind\": \"policy\"", "\"default\": \"100000\""];
    /// Guards against a reference that is not printed as a whole.
    explain_all: "explain", "" => 0, ["# Settings", "## Policy document"];
    /// Guards against a misspelt key that prints nothing and exits with success.
    explain_unknown: "explain in_flight", "" => 2, ["similar: max_in_flight, team_in_flight_share"];
}
