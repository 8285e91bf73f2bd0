//! Problem reports for invalid settings files and policy documents.

use std::path::Path;

use lagoon_core::policy::Policy;
use lagoon_core::unit::{Bytes, Millis};
use lagoon_process::logging::LogSettings;
use lagoon_process::settings::{Address, Checked, Problems, parse, text};
use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Sample {
    listen: Address,
    #[serde(deserialize_with = "text")]
    wait: Millis,
    #[serde(deserialize_with = "text")]
    size: Bytes,
    peers: Vec<Address>,
    shards: u16,
    #[serde(default)]
    log: LogSettings,
}

impl Checked for Sample {
    fn check(&self, problems: &mut Problems) {
        problems.require(self.shards > 0, "shards", "a number from 1 on");
        problems.require(!self.peers.is_empty(), "peers", "at least one address");
        problems.check_nested("log", &self.log);
    }
}

const VALID: [(&str, &str); 5] = [
    ("listen", "127.0.0.1:0"),
    ("wait", "5s"),
    ("size", "1MiB"),
    ("peers", "[127.0.0.1:1]"),
    ("shards", "4"),
];

/// Returns the keys with problems after applying `changes` to a valid file; an empty value removes the key.
fn problem_keys(changes: &[(&str, &str)]) -> Vec<String> {
    let changed = |key: &str| changes.iter().any(|(name, _)| *name == key);
    let kept = VALID.iter().filter(|(key, _)| !changed(key));
    let added = changes.iter().filter(|(_, value)| !value.is_empty());
    let lines: Vec<String> = kept
        .chain(added)
        .map(|(key, value)| format!("{key}: {value}"))
        .collect();
    match parse::<Sample>(Path::new("sample.yaml"), &lines.join("\n")) {
        Ok(sample) => {
            assert_eq!(sample.listen.to_string(), "127.0.0.1:0");
            assert_eq!(
                (sample.wait, sample.size),
                (Millis::new(5_000), Bytes::new(1 << 20))
            );
            Vec::new()
        }
        Err(errors) => {
            let printed = errors.to_string();
            assert_eq!(
                printed.lines().count(),
                errors.problems().len() + 1,
                "{printed}"
            );
            assert!(
                printed
                    .lines()
                    .skip(1)
                    .all(|line| line.starts_with("sample.yaml: "))
            );
            errors
                .problems()
                .iter()
                .map(|problem| problem.key.clone())
                .collect()
        }
    }
}

macro_rules! reported {
    ($($(#[$guard:meta])* $name:ident: [$($change:expr),*] => [$($key:literal),*];)*) => {
        $(
            $(#[$guard])*
            #[test]
            fn $name() {
                let mut keys = problem_keys(&[$($change),*]);
                keys.sort();
                assert_eq!(keys, [$($key),*] as [&str; _]);
            }
        )*
    };
}

reported! {
    /// Guards against a valid file that is rejected.
    valid_file: [] => [];
    /// Guards against a report that stops at the first invalid value.
    several_wrong_values: [("wait", "5GiB"), ("size", "-1MiB"), ("listen", "localhost:1")]
        => ["listen", "size", "wait"];
    /// Guards against a report that stops at the first missing key.
    several_missing_keys: [("wait", ""), ("shards", ""), ("peers", "")] => ["peers", "shards", "wait"];
    /// Guards against an unknown key that is ignored or hides other problems.
    unknown_keys_and_a_wrong_value: [("lisen", "a"), ("wiat", "b"), ("wait", "x")]
        => ["lisen", "wait", "wiat"];
    /// Guards against violated rules that are only reported once the types are right.
    form_and_rule: [("wait", "x"), ("shards", "0"), ("peers", "[]")] => ["peers", "shards", "wait"];
    /// Guards against a problem in a list or a nested mapping that is reported without its path.
    nested_paths: [("peers", "[127.0.0.1:1, x]"), ("log", "{format: xml, level: '[['}")]
        => ["log.format", "log.level", "peers.1"];
    /// Guards against a panic or an endless loop on a file that is not a mapping.
    not_a_mapping: [("wait", "{"), ("size", "["), ("shards", "]")] => [""];
}

macro_rules! policy_problems {
    ($($(#[$guard:meta])* $name:ident: $text:expr => [$($key:literal),*];)*) => {
        $(
            $(#[$guard])*
            #[test]
            fn $name() {
                let problems = match parse::<Policy>(Path::new("policy.json"), $text) {
                    Ok(_) => Vec::new(),
                    Err(errors) => errors.problems().to_vec(),
                };
                let mut keys: Vec<String> = problems.into_iter().map(|p| p.key).collect();
                keys.sort();
                assert_eq!(keys, [$($key),*] as [&str; _]);
            }
        )*
    };
}

policy_problems! {
    /// Guards against a valid policy document that is rejected.
    valid_policy: "version: 1\nteams: {a: {quota: {cpu: 1000, memory: 1024}}}" => [];
    /// Guards against valid JSON that is rejected because YAML doesn't allow tabs.
    policy_in_json_with_tabs: "{\n\t\"version\": 3,\n\t\"services\": {\"s\": {}}\n}" => [];
    /// Guards against a report that stops at a missing mapping.
    missing_quota: "version: 0\nteams: {a: {weight: 0}}\nqueue: {items: 0}"
        => ["queue.items", "teams.a.quota", "teams.a.weight", "version"];
    /// Guards against a mapping of the wrong type that hides later problems.
    quota_of_the_wrong_type: "version: 1\nteams: {a: {quota: 5, weight: x}, b: {queue_limit: 0}}"
        => ["teams.a.quota", "teams.a.weight", "teams.b.queue_limit", "teams.b.quota"];
    /// Guards against a missing key of a nested mapping that is reported without its path.
    missing_part: "version: 1\nteams: {a: {quota: {cpu: 1}}}\ndefault_team: {quota: {memory: 1}}"
        => ["default_team.quota.cpu", "teams.a.quota.memory"];
    /// Guards against violated rules that are only reported once the types are right.
    form_and_rules: "version: x\nhealth: {failures: 0, rset: 1}\nkinds: {gang: {ceiling_percent: 120}}"
        => ["health.failures", "health.rset", "kinds.gang.ceiling_percent", "version"];
}
