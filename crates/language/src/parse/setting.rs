use lagoon_core::id::ServiceName;
use lagoon_core::work::WorkKind;
use winnow::Parser;
use winnow::combinator::alt;

use crate::parse::input::Input;
use crate::parse::token::{id, keyword, setting_value, word};
use crate::parse::{Expected, Parsed};
use crate::syntax::{HealthChange, KindChange, QueueChange, ServiceChange, Setting, TeamChange};

/// Keys that completion and errors list as a whole. Keys of services contain a name and are described by `SERVICE_KEY`.
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
const SERVICE_KEY: Expected = Expected::Value("services.NAME.FIELD");

/// A key of the policy whose value has not been parsed yet.
enum SettingKey<'a> {
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
    let field = field_name(input, TeamChange::FIELDS)?;
    let change = change(input, TeamChange::description(field), |text| {
        TeamChange::parse(field, text)
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
    let field = field_name(input, KindChange::FIELDS)?;
    let change = change(input, KindChange::description(field), |text| {
        KindChange::parse(field, text)
    })?;
    Ok(Setting::Kind(kind, change))
}

fn field_name(input: &mut Input<'_>, fields: &'static [&'static str]) -> Parsed<&'static str> {
    let expected: Vec<Expected> = fields.iter().map(|field| Expected::Word(field)).collect();
    let parse = |word: &str| fields.iter().find(|field| **field == word).copied();
    word(input, &expected, parse)
}

fn change<'a, T>(
    input: &mut Input<'a>,
    description: Option<&'static str>,
    parse: impl FnMut(&'a str) -> Option<T>,
) -> Parsed<T> {
    setting_value(input, description.unwrap_or_default(), parse)
}

fn by_key(input: &mut Input<'_>) -> Parsed<Setting> {
    let mut expected = KEYS.to_vec();
    expected.push(SERVICE_KEY);
    match word(input, &expected, parse_key)? {
        SettingKey::DefaultTeam(field) => change(input, TeamChange::description(field), |text| {
            TeamChange::parse(field, text).map(Setting::DefaultTeam)
        }),
        SettingKey::Queue(field) => change(input, QueueChange::description(field), |text| {
            QueueChange::parse(field, text).map(Setting::Queue)
        }),
        SettingKey::Health(field) => change(input, HealthChange::description(field), |text| {
            HealthChange::parse(field, text).map(Setting::Health)
        }),
        SettingKey::Service(service, field) => {
            change(input, ServiceChange::description(field), |text| {
                let change = ServiceChange::parse(field, text)?;
                Some(Setting::Service(service.clone(), change))
            })
        }
        SettingKey::RetryBudget => setting_value(input, "a percentage such as 20%", |text| {
            text.parse().ok().map(Setting::RetryBudget)
        }),
    }
}

fn parse_key(word: &str) -> Option<SettingKey<'_>> {
    if word == Setting::RETRY_BUDGET {
        return Some(SettingKey::RetryBudget);
    }
    let (part, rest) = word.split_once('.')?;
    let known = |fields: &[&str], field| fields.contains(&field);
    match part {
        "default_team" if known(TeamChange::FIELDS, rest) => Some(SettingKey::DefaultTeam(rest)),
        "queue" if known(QueueChange::FIELDS, rest) => Some(SettingKey::Queue(rest)),
        "health" if known(HealthChange::FIELDS, rest) => Some(SettingKey::Health(rest)),
        "services" => {
            // A service name may contain dots, a field name may not.
            let (service, field) = rest.rsplit_once('.')?;
            let service = service.parse().ok()?;
            known(ServiceChange::FIELDS, field).then_some(SettingKey::Service(service, field))
        }
        _ => None,
    }
}
