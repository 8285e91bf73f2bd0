use lagoon_core::id::ServiceName;
use lagoon_core::work::WorkKind;
use winnow::Parser;
use winnow::combinator::alt;

use crate::parse::input::Input;
use crate::parse::token::{id, keyword, setting_value, word};
use crate::parse::{Expected, Parsed};
use crate::syntax::{HealthChange, KindChange, QueueChange, ServiceChange, Setting, TeamChange};

/// Keys that are one word in the completion and in errors; those of services contain a name.
const KEYS: [Expected; 10] = [
    Expected::Word("default_team.quota"),
    Expected::Word("default_team.weight"),
    Expected::Word("default_team.queue_limit"),
    Expected::Word("queue.items"),
    Expected::Word("queue.bytes"),
    Expected::Word("health.window"),
    Expected::Word("health.failures"),
    Expected::Word("health.rest"),
    Expected::Word("health.rested_share_cap_percent"),
    Expected::Word(Setting::RETRY_BUDGET),
];
const SERVICE_KEY: Expected = Expected::Form("services.NAME.FIELD");

/// A key of the policy before its value is known.
enum Key<'a> {
    DefaultTeam(&'a str),
    Queue(&'a str),
    Health(&'a str),
    Service(ServiceName, &'a str),
    RetryBudget,
}

pub(super) fn setting(input: &mut Input<'_>) -> Parsed<Setting> {
    alt((team, kind, by_key)).parse_next(input)
}

fn team(input: &mut Input<'_>) -> Parsed<Setting> {
    keyword(input, "team")?;
    let team = id(input, "a team name")?;
    let field = one_of(input, TeamChange::FIELDS)?;
    let change = change(input, TeamChange::form(field), |text| {
        TeamChange::read(field, text)
    })?;
    Ok(Setting::Team(team, change))
}

fn kind(input: &mut Input<'_>) -> Parsed<Setting> {
    keyword(input, "kind")?;
    let expected: Vec<Expected> = WorkKind::ALL
        .iter()
        .map(|kind| Expected::Word(kind.as_str()))
        .collect();
    let kind = word(input, &expected, |word| word.parse().ok())?;
    let field = one_of(input, KindChange::FIELDS)?;
    let change = change(input, KindChange::form(field), |text| {
        KindChange::read(field, text)
    })?;
    Ok(Setting::Kind(kind, change))
}

fn one_of(input: &mut Input<'_>, fields: &'static [&'static str]) -> Parsed<&'static str> {
    let expected: Vec<Expected> = fields.iter().map(|field| Expected::Word(field)).collect();
    let read = |word: &str| fields.iter().find(|field| **field == word).copied();
    word(input, &expected, read)
}

fn change<'a, T>(
    input: &mut Input<'a>,
    form: Option<&'static str>,
    read: impl FnMut(&'a str) -> Option<T>,
) -> Parsed<T> {
    setting_value(input, form.unwrap_or_default(), read)
}

fn by_key(input: &mut Input<'_>) -> Parsed<Setting> {
    let mut expected = KEYS.to_vec();
    expected.push(SERVICE_KEY);
    match word(input, &expected, read_key)? {
        Key::DefaultTeam(field) => change(input, TeamChange::form(field), |text| {
            TeamChange::read(field, text).map(Setting::DefaultTeam)
        }),
        Key::Queue(field) => change(input, QueueChange::form(field), |text| {
            QueueChange::read(field, text).map(Setting::Queue)
        }),
        Key::Health(field) => change(input, HealthChange::form(field), |text| {
            HealthChange::read(field, text).map(Setting::Health)
        }),
        Key::Service(service, field) => change(input, ServiceChange::form(field), |text| {
            let change = ServiceChange::read(field, text)?;
            Some(Setting::Service(service.clone(), change))
        }),
        Key::RetryBudget => setting_value(input, "a percentage such as 20%", |text| {
            text.parse().ok().map(Setting::RetryBudget)
        }),
    }
}

fn read_key(word: &str) -> Option<Key<'_>> {
    if word == Setting::RETRY_BUDGET {
        return Some(Key::RetryBudget);
    }
    let (part, rest) = word.split_once('.')?;
    let known = |fields: &[&str], field| fields.contains(&field);
    match part {
        "default_team" if known(TeamChange::FIELDS, rest) => Some(Key::DefaultTeam(rest)),
        "queue" if known(QueueChange::FIELDS, rest) => Some(Key::Queue(rest)),
        "health" if known(HealthChange::FIELDS, rest) => Some(Key::Health(rest)),
        "services" => {
            // The name of a service may contain dots; the name of a field contains none.
            let (service, field) = rest.rsplit_once('.')?;
            let service = service.parse().ok()?;
            known(ServiceChange::FIELDS, field).then_some(Key::Service(service, field))
        }
        _ => None,
    }
}
