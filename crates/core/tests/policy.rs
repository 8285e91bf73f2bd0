//! Deserialization and validation of the policy document.

use lagoon_core::policy::Policy;

const VALID: &str = r#"{"version": 7, "teams": {"crew": {"weight": 3,
    "quota": {"cpu": 4000, "memory": 1024}}}, "services": {"planner": {"journal": true}}}"#;

/// Deserializes `VALID` with `from` replaced by `to`.
fn changed(from: &str, to: &str) -> Result<Policy, serde_json::Error> {
    assert!(VALID.contains(from), "the document has no {from}");
    serde_json::from_str(&VALID.replace(from, to))
}

fn keys(policy: &Policy) -> Vec<String> {
    let problems = policy.validate();
    problems.into_iter().map(|problem| problem.key).collect()
}

macro_rules! reported {
    ($($(#[$meta:meta])* $name:ident: $from:literal => $to:literal, [$($key:literal),*];)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                assert_eq!(keys(&changed($from, $to).unwrap()), [$($key),*] as [&str; _]);
            }
        )*
    };
}

macro_rules! unreadable {
    ($($(#[$meta:meta])* $name:ident: $from:literal => $to:literal;)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                assert!(changed($from, $to).is_err());
            }
        )*
    };
}

reported! {
    /// Guards against a valid document that is rejected.
    valid_document: "7" => "7", [];
    /// Guards against version 0, which would count as older than any document.
    version_zero: "7" => "0", ["version"];
    /// Guards against a team without weight, whose share would be infinite.
    weight_zero: "\"weight\": 3" => "\"weight\": 0", ["teams.crew.weight"];
    /// Guards against a quota that no work fits in.
    empty_quota: "4000" => "0", ["teams.crew.quota"];
    /// Guards against a validation that stops at the first problem.
    several_at_once: "\"version\": 7" =>
        "\"version\": 0, \"queue\": {\"items\": 0}, \"retry_budget_percent\": 101, \"health\": {\"failures\": 0}",
        ["version", "queue.items", "health.failures", "retry_budget_percent"];
    /// Guards against guaranteed shares of more than 100% together.
    guarantees_above_the_whole: "\"version\": 7" =>
        "\"version\": 7, \"kinds\": {\"service\": {\"guaranteed_percent\": 80}}", ["kinds"];
    /// Guards against a guaranteed share above the ceiling, which could not be used.
    guarantee_above_ceiling: "\"version\": 7" =>
        "\"version\": 7, \"kinds\": {\"gang\": {\"guaranteed_percent\": 30, \"ceiling_percent\": 25}}",
        ["kinds.gang.guaranteed_percent"];
    /// Guards against a service whose requests time out immediately.
    no_request_time: "\"journal\": true" => "\"request_timeout\": 0", ["services.planner.request_timeout"];
}

unreadable! {
    /// Guards against a misspelled field that is silently ignored.
    unknown_field: "\"weight\"" => "\"wieght\"";
    /// Guards against a negative size that wraps around.
    negative_quota: "4000" => "-1";
    /// Guards against a team name that can't be printed in a command.
    invalid_team_name: "crew" => "crew one";
}

/// Guards against a document that changes when it is serialized and deserialized.
#[test]
fn round_trip() {
    let policy = changed("7", "7").unwrap();
    let text = serde_json::to_string(&policy).unwrap();
    assert_eq!(serde_json::from_str::<Policy>(&text).unwrap(), policy);
}

/// Guards against teams that the policy does not name and that are accepted without a default team.
#[test]
fn unnamed_team_needs_a_default() {
    let mut policy = changed("7", "7").unwrap();
    let unnamed = "other".parse().unwrap();
    assert!(policy.team(&unnamed).is_none());
    policy.default_team = policy.teams.values().next().cloned();
    assert!(policy.team(&unnamed).is_some());
}
