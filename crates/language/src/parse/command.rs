use lagoon_core::id::WorkId;
use winnow::Parser;
use winnow::combinator::{alt, repeat};

use crate::parse::input::Input;
use crate::parse::query::WORK;
use crate::parse::token::{clause, id, keyword, word};
use crate::parse::{Expected, Parsed, filter, setting};
use crate::syntax::{Command, Place, Table, Target, WorkAction};

const HOST: &str = "a host name";

pub(super) fn command(input: &mut Input<'_>) -> Parsed<Command> {
    alt((work, drain, undrain, set, hand_over, confirm_dead)).parse_next(input)
}

fn work(input: &mut Input<'_>) -> Parsed<Command> {
    let all = WorkAction::ALL;
    let expected: Vec<Expected> = all.iter().map(|a| Expected::Word(a.as_str())).collect();
    let read = |word: &str| all.iter().find(|action| action.as_str() == word).copied();
    let action = word(input, &expected, read)?;
    let target = target(input)?;
    Ok(Command::Work(action, target))
}

fn target(input: &mut Input<'_>) -> Parsed<Target> {
    let condition = |input: &mut Input<'_>| filter::filter(input, Table::Work);
    if let Some(filter) = clause(input, "where", condition)? {
        return Ok(Target::Where(filter));
    }
    let work = |input: &mut Input<'_>| id::<WorkId>(input, WORK);
    repeat(1.., work).map(Target::Works).parse_next(input)
}

fn drain(input: &mut Input<'_>) -> Parsed<Command> {
    keyword(input, "drain")?;
    place(input).map(Command::Drain)
}

fn undrain(input: &mut Input<'_>) -> Parsed<Command> {
    keyword(input, "undrain")?;
    place(input).map(Command::Undrain)
}

fn place(input: &mut Input<'_>) -> Parsed<Place> {
    if keyword(input, "host").is_ok() {
        return id(input, HOST).map(Place::Host);
    }
    keyword(input, "rack")?;
    id(input, "a rack name").map(Place::Rack)
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

fn confirm_dead(input: &mut Input<'_>) -> Parsed<Command> {
    keyword(input, "confirm")?;
    keyword(input, "dead")?;
    keyword(input, "host")?;
    id(input, HOST).map(Command::ConfirmDead)
}
