use lagoon_core::id::WorkId;
use winnow::Parser;
use winnow::combinator::{alt, repeat};

use crate::parse::input::Input;
use crate::parse::query::WORK_ID;
use crate::parse::token::{clause, id, keyword, word};
use crate::parse::{Expected, Parsed, filter, setting};
use crate::syntax::{Command, DrainTarget, Table, WorkAction, WorkSelector};

const HOST_NAME: &str = "a host name";

pub(super) fn command(input: &mut Input<'_>) -> Parsed<Command> {
    alt((work, drain, undrain, set, hand_over, confirm_dead_host)).parse_next(input)
}

fn work(input: &mut Input<'_>) -> Parsed<Command> {
    let all = WorkAction::ALL;
    let expected: Vec<Expected> = all.iter().map(|a| Expected::Word(a.as_str())).collect();
    let parse = |word: &str| all.iter().find(|action| action.as_str() == word).copied();
    let action = word(input, &expected, parse)?;
    let selector = work_selector(input)?;
    Ok(Command::Work(action, selector))
}

fn work_selector(input: &mut Input<'_>) -> Parsed<WorkSelector> {
    let condition = |input: &mut Input<'_>| filter::filter(input, Table::Work);
    if let Some(filter) = clause(input, "where", condition)? {
        return Ok(WorkSelector::Filter(filter));
    }
    let work = |input: &mut Input<'_>| id::<WorkId>(input, WORK_ID);
    repeat(1.., work).map(WorkSelector::Ids).parse_next(input)
}

fn drain(input: &mut Input<'_>) -> Parsed<Command> {
    keyword(input, "drain")?;
    drain_target(input).map(Command::Drain)
}

fn undrain(input: &mut Input<'_>) -> Parsed<Command> {
    keyword(input, "undrain")?;
    drain_target(input).map(Command::Undrain)
}

fn drain_target(input: &mut Input<'_>) -> Parsed<DrainTarget> {
    if keyword(input, "host").is_ok() {
        return id(input, HOST_NAME).map(DrainTarget::Host);
    }
    keyword(input, "rack")?;
    id(input, "a rack name").map(DrainTarget::Rack)
}

fn set(input: &mut Input<'_>) -> Parsed<Command> {
    keyword(input, "set")?;
    setting::setting(input).map(Command::Set)
}

fn hand_over(input: &mut Input<'_>) -> Parsed<Command> {
    keyword(input, "hand")?;
    keyword(input, "over")?;
    let shard = id(input, "a shard such as cluj:3")?;
    keyword(input, "to")?;
    let to = id(input, "a process name")?;
    Ok(Command::HandOver { shard, to })
}

fn confirm_dead_host(input: &mut Input<'_>) -> Parsed<Command> {
    keyword(input, "confirm")?;
    keyword(input, "dead")?;
    keyword(input, "host")?;
    id(input, HOST_NAME).map(Command::ConfirmDeadHost)
}
