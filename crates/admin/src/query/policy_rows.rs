//! Rows of the tables `policy` and `teams`.

use lagoon_core::id::TeamId;
use lagoon_core::policy::{Policy, TeamPolicy};
use lagoon_core::work::WorkKind;
use lagoon_language::syntax::{Table, Value};

use crate::query::Row;
use crate::query::row::{dimension, number, text};

pub(super) fn team_rows(policy: &Policy) -> Vec<Row> {
    let teams = policy.teams.iter();
    let row = |(name, team): (&TeamId, &TeamPolicy)| {
        Row::new(Table::Teams, |field| match field {
            "team" => text(name),
            "weight" => number(team.weight.get()),
            "queue_limit" => number(team.queue_limit),
            other => dimension(&team.quota, other),
        })
    };
    teams.map(row).collect()
}

/// Returns a row for each policy value. Values that `set` can change have the key that `set` takes.
pub(super) fn policy_rows(policy: &Policy) -> Vec<Row> {
    let mut pairs: Vec<(String, String)> = vec![("version".into(), policy.version.to_string())];
    let mut add = |key: String, value: &dyn ToString| pairs.push((key, value.to_string()));
    let teams = policy.teams.iter();
    let teams = teams.map(|(name, team)| (format!("teams.{name}"), team));
    let default = policy.default_team.iter();
    for (key, team) in teams.chain(default.map(|team| ("default_team".to_owned(), team))) {
        add(format!("{key}.quota"), &team.quota);
        add(format!("{key}.weight"), &team.weight);
        add(format!("{key}.queue_limit"), &team.queue_limit);
    }
    for kind in WorkKind::ALL {
        let shares = policy.kinds.get(*kind);
        add(
            format!("kinds.{kind}.guaranteed_percent"),
            &shares.guaranteed_percent,
        );
        add(
            format!("kinds.{kind}.ceiling_percent"),
            &shares.ceiling_percent,
        );
    }
    for (name, service) in &policy.services {
        add(
            format!("services.{name}.request_timeout"),
            &service.request_timeout,
        );
        add(format!("services.{name}.queue_limit"), &service.queue_limit);
        add(
            format!("services.{name}.repeatability"),
            &service.repeatability,
        );
        add(format!("services.{name}.journal"), &service.journal);
    }
    add("queue.items".into(), &policy.queue.items);
    add("queue.bytes".into(), &policy.queue.bytes);
    let health = &policy.health;
    add("health.window".into(), &health.window);
    add("health.failures".into(), &health.failures);
    add("health.rest".into(), &health.rest);
    let cap = &health.rested_share_cap_percent;
    add("health.rested_share_cap_percent".into(), cap);
    for host in &policy.drained_hosts {
        add("drained_hosts".into(), host);
    }
    add("retry_budget_percent".into(), &policy.retry_budget_percent);
    let row = |(key, value): &(String, String)| {
        Row::new(Table::Policy, |field| -> Option<Value> {
            match field {
                "key" => text(key),
                _ => text(value),
            }
        })
    };
    pairs.iter().map(row).collect()
}
