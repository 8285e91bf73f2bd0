//! Checks the settings types against the reference: every field has an entry, and every entry has the right default.

use std::collections::BTreeSet;
use std::fmt::Debug;
use std::path::Path;

use lagoon_core::policy::Policy;
use lagoon_gateway::GatewaySettings;
use lagoon_node::NodeSettings;
use lagoon_process::reference::{Entry, Kind};
use lagoon_process::settings::{Checked, Problem, parse};
use lagoon_scheduler::SchedulerSettings;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

/// A field that no settings type has. The error for it lists the known fields.
const PROBE: &str = "no_such_field";
/// Placeholders for the keys of a collection, with the names used in the sample files.
const COLLECTIONS: [(&str, &str); 3] = [("TEAM", "t"), ("SERVICE", "s"), ("N", "0")];
const WORK_KINDS: [&str; 3] = ["service", "batch", "gang"];

/// Returns a file with every mapping and every collection, but otherwise only the required keys.
fn sample(kind: Kind) -> Value {
    let address = "127.0.0.1:7100";
    let team = json!({"quota": {"cpu": 1, "memory": 1}});
    let token = json!({"caller": "c", "token": "0123456789abcdef", "teams": ["a"]});
    let own = match kind {
        Kind::Gateway => json!({"schedulers": [address], "tokens": [token]}),
        Kind::Scheduler => json!({"health": address, "store": address, "host_list": address,
            "lease": {}}),
        Kind::Node => {
            return json!({"member": "m", "failure_domain": "d", "strength": 0.5, "store": address,
                "adviser": address, "log": {},
                "listen": {"callers": address, "readiness": address, "peers": address,
                    "metrics": address},
                "limits": {"max_lease": "6s", "retention": "2m", "grace": "6s",
                    "min_store_lease": "1s"}});
        }
        Kind::Policy => {
            return json!({"version": 1, "teams": {"t": team}, "default_team": team, "health": {},
                "kinds": {"service": {}, "batch": {}, "gang": {}}, "services": {"s": {}},
                "queue": {}});
        }
    };
    let mut file = json!({"process": "p", "failure_domain": "d", "listen": address, "shards": 1,
        "log": {}, "metrics": {}});
    for (key, value) in own.as_object().unwrap() {
        file[key] = value.clone();
    }
    file
}

/// Returns the keys of an entry in the sample file. An entry per kind of work has one key for each kind.
fn keys(entry: &Entry) -> Vec<String> {
    let mut key = entry.key.to_owned();
    for (placeholder, name) in COLLECTIONS {
        let parts = key
            .split('.')
            .map(|part| if part == placeholder { name } else { part });
        key = parts.collect::<Vec<_>>().join(".");
    }
    match key.contains("KIND") {
        true => WORK_KINDS
            .iter()
            .map(|kind| key.replace("KIND", kind))
            .collect(),
        false => vec![key],
    }
}

/// Sets the value of a dotted key, or removes the key.
fn put(file: &mut Value, key: &str, value: Option<Value>) {
    let (parent, name) = key.rsplit_once('.').unwrap_or(("", key));
    let pointer = match parent {
        "" => String::new(),
        parent => format!("/{}", parent.replace('.', "/")),
    };
    let parent = file
        .pointer_mut(&pointer)
        .unwrap_or_else(|| panic!("no {parent} in the sample"));
    let parent = parent.as_object_mut().unwrap();
    match value {
        Some(value) => parent.insert(name.to_owned(), value),
        None => parent.remove(name),
    };
}

/// Parses a file. Returns the settings in their `Debug` form, or the problems.
fn read<T: DeserializeOwned + Checked + Debug>(file: &Value) -> Result<String, Vec<Problem>> {
    let read = parse::<T>(Path::new("sample"), &file.to_string());
    read.map(|settings| format!("{settings:?}"))
        .map_err(|e| e.problems().to_vec())
}

fn read_kind(kind: Kind, file: &Value) -> Result<String, Vec<Problem>> {
    match kind {
        Kind::Gateway => read::<GatewaySettings>(file),
        Kind::Scheduler => read::<SchedulerSettings>(file),
        Kind::Node => read::<NodeSettings>(file),
        Kind::Policy => read::<Policy>(file),
    }
}

/// Returns the fields of the mapping at `path`, taken from the error for an unknown field.
fn fields(kind: Kind, path: &str) -> BTreeSet<String> {
    let probe = match path {
        "" => PROBE.to_owned(),
        path => format!("{path}.{PROBE}"),
    };
    let mut file = sample(kind);
    put(&mut file, &probe, Some(json!(1)));
    let problems = read_kind(kind, &file).unwrap_err();
    let refused = problems.iter().find(|problem| problem.key == probe);
    let message = &refused.unwrap_or_else(|| panic!("{problems:?}")).message;
    let quoted = message.split('`').skip(1).step_by(2);
    quoted
        .filter(|name| *name != PROBE)
        .map(str::to_owned)
        .collect()
}

/// Returns the paths of the mappings with fixed fields: the parents of all keys, except the collections.
fn mappings(kind: Kind) -> BTreeSet<String> {
    let mut paths = BTreeSet::new();
    for entry in kind.entries() {
        for key in keys(entry) {
            let parts: Vec<&str> = key.split('.').collect();
            for (i, part) in entry.key.split('.').enumerate() {
                if COLLECTIONS
                    .iter()
                    .all(|(placeholder, _)| *placeholder != part)
                {
                    paths.insert(parts[..i].join("."));
                }
            }
        }
    }
    paths
}

/// Returns the fields that the reference lists directly below `path`.
fn documented(kind: Kind, path: &str) -> BTreeSet<String> {
    let start = if path.is_empty() {
        String::new()
    } else {
        format!("{path}.")
    };
    let all = kind.entries().flat_map(keys);
    let below = all.filter_map(|key| Some(key.strip_prefix(&start)?.to_owned()));
    below
        .map(|rest| rest.split('.').next().unwrap().to_owned())
        .collect()
}

macro_rules! kinds {
    ($($(#[$guard:meta])* $name:ident: $check:ident($kind:ident);)*) => {
        $(
            $(#[$guard])*
            #[test]
            fn $name() {
                $check(Kind::$kind);
            }
        )*
    };
}

kinds! {
    /// Guards against a field of the gateway's settings without an entry, or an entry without a field.
    gateway_fields: every_field_is_documented(Gateway);
    /// Guards against a field of the scheduler's settings without an entry, or an entry without a field.
    scheduler_fields: every_field_is_documented(Scheduler);
    /// Guards against a field of the policy document without an entry, or an entry without a field.
    policy_fields: every_field_is_documented(Policy);
    /// Guards against a mapping in the gateway's settings whose fields have no entries.
    gateway_leaves: leaves_have_no_fields(Gateway);
    /// Guards against a mapping in the scheduler's settings whose fields have no entries.
    scheduler_leaves: leaves_have_no_fields(Scheduler);
    /// Guards against a mapping in the policy document whose fields have no entries.
    policy_leaves: leaves_have_no_fields(Policy);
    /// Guards against a default of the gateway that differs from the reference.
    gateway_defaults: defaults_hold(Gateway);
    /// Guards against a default of the scheduler that differs from the reference.
    scheduler_defaults: defaults_hold(Scheduler);
    /// Guards against a default of the policy document that differs from the reference.
    policy_defaults: defaults_hold(Policy);
}

fn every_field_is_documented(kind: Kind) {
    let mappings = mappings(kind);
    assert!(mappings.len() > 2, "{mappings:?}");
    for path in mappings {
        assert_eq!(
            fields(kind, &path),
            documented(kind, &path),
            "{kind} {path:?}"
        );
    }
}

fn leaves_have_no_fields(kind: Kind) {
    let all: Vec<String> = kind.entries().flat_map(keys).collect();
    let is_leaf = |key: &&String| {
        !all.iter()
            .any(|other| other.starts_with(&format!("{key}.")))
    };
    for key in all.iter().filter(is_leaf) {
        for value in [
            json!({PROBE: 1}),
            json!([{PROBE: 1}]),
            json!({"a": {PROBE: 1}}),
        ] {
            let mut file = sample(kind);
            put(&mut file, key, Some(value));
            for problem in read_kind(kind, &file).err().unwrap_or_default() {
                let has_fields = problem.message.starts_with("unknown field");
                assert!(!has_fields, "{kind} {key} has fields: {problem}");
            }
        }
    }
}

fn defaults_hold(kind: Kind) {
    for entry in kind.entries() {
        for key in keys(entry) {
            let mut without = sample(kind);
            put(&mut without, &key, None);
            let read_without = read_kind(kind, &without);
            let Some(default) = entry.default else {
                let problems = read_without.unwrap_err();
                let missing = problems.iter().any(|problem| problem.key == key);
                assert!(missing, "{kind} {key} is not required: {problems:?}");
                continue;
            };
            // Defaults that are `null`, numbers or mappings are JSON; the others are plain text.
            let default = serde_json::from_str(default).unwrap_or_else(|_| json!(default));
            let mut with = sample(kind);
            put(&mut with, &key, Some(default));
            assert_eq!(read_without, read_kind(kind, &with), "{kind} {key}");
            assert!(read_without.is_ok(), "{kind} {key}: {read_without:?}");
        }
    }
}

macro_rules! out_of_range {
    ($($(#[$guard:meta])* $name:ident: $kind:ident, $key:literal, $value:expr;)*) => {
        $(
            $(#[$guard])*
            #[test]
            fn $name() {
                let mut file = sample(Kind::$kind);
                put(&mut file, $key, Some($value));
                let problems = read_kind(Kind::$kind, &file).unwrap_err();
                let keys: Vec<&str> = problems.iter().map(|problem| problem.key.as_str()).collect();
                assert_eq!(keys, [$key]);
            }
        )*
    };
}

out_of_range! {
    /// Guards against a gateway that has no shard to route a key to.
    no_shards: Gateway, "shards", json!(0);
    /// Guards against a gateway that refuses every request.
    none_in_flight: Gateway, "max_in_flight", json!(0);
    /// Guards against teams that can have no request in flight.
    no_share: Gateway, "team_in_flight_share", json!("0%");
    /// Guards against a share that lets one team exceed the total limit.
    share_above_the_whole: Gateway, "team_in_flight_share", json!("101%");
    /// Guards against a share without a unit.
    share_without_unit: Gateway, "team_in_flight_share", json!(50);
    /// Guards against a default home that no request can name.
    broken_home: Gateway, "default_home", json!("cluj:1");
    /// Guards against a lease that expires before it can be renewed.
    large_margin: Scheduler, "lease.margin", json!("1s");
    /// Guards against a suspicion timeout shorter than the heartbeat interval.
    early_suspicion: Scheduler, "suspect_after", json!("100ms");
    /// Guards against a scheduler that is never allowed to write to the store.
    no_writes: Scheduler, "store_writes", json!("0/s");
    /// Guards against a kind of work that may use more than the whole capacity.
    ceiling_above_the_whole: Policy, "kinds.batch.ceiling_percent", json!(101);
    /// Guards against a retry budget above the number of first starts.
    large_retry_budget: Policy, "retry_budget_percent", json!(101);
}
