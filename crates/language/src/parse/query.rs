use winnow::Parser;
use winnow::combinator::{alt, opt};

use crate::parse::input::Input;
use crate::parse::token::{clause, field, id, keyword, word};
use crate::parse::{Expected, Parsed, filter};
use crate::syntax::{Field, Query, Show, Sort, SortKey, Table};

pub(super) const WORK_ID: &str = "a work id such as w:cluj:3:7:15";

pub(super) fn query(input: &mut Input<'_>) -> Parsed<Query> {
    alt((show.map(Query::Show), why)).parse_next(input)
}

fn why(input: &mut Input<'_>) -> Parsed<Query> {
    keyword(input, "why")?;
    id(input, WORK_ID).map(Query::Why)
}

fn show(input: &mut Input<'_>) -> Parsed<Show> {
    keyword(input, "show")?;
    let table = table(input)?;
    let filter = clause(input, "where", |input: &mut Input<'_>| {
        filter::filter(input, table)
    })?;
    let count_by = clause(input, "count", |input: &mut Input<'_>| {
        count_by(input, table)
    })?;
    let sort = clause(input, "sort", |input: &mut Input<'_>| {
        sort(input, table, count_by)
    })?;
    let limit = clause(input, "limit", |input: &mut Input<'_>| {
        id(input, "a number")
    })?;
    Ok(Show {
        table,
        filter,
        count_by,
        sort,
        limit,
    })
}

fn table(input: &mut Input<'_>) -> Parsed<Table> {
    let all = Table::ALL;
    let expected: Vec<Expected> = all.iter().map(|t| Expected::Word(t.as_str())).collect();
    let parse = |word: &str| all.iter().find(|table| table.as_str() == word).copied();
    word(input, &expected, parse)
}

fn count_by(input: &mut Input<'_>, table: Table) -> Parsed<Field> {
    keyword(input, "by")?;
    field(input, table)
}

fn sort(input: &mut Input<'_>, table: Table, count_by: Option<Field>) -> Parsed<Sort> {
    keyword(input, "by")?;
    let key = match count_by {
        Some(group) => count_sort_key(input, group)?,
        None => SortKey::Field(field(input, table)?),
    };
    let desc = |input: &mut Input<'_>| keyword(input, "desc");
    let descending = opt(desc).parse_next(input)?.is_some();
    Ok(Sort { key, descending })
}

/// Parses the sort key of a query with `count by`: the counted field or the count.
fn count_sort_key(input: &mut Input<'_>, group: Field) -> Parsed<SortKey> {
    let expected = [SortKey::COUNT, group.name()].map(Expected::Word);
    word(input, &expected, |word| match word {
        SortKey::COUNT => Some(SortKey::Count),
        word => (word == group.name()).then_some(SortKey::Field(group)),
    })
}
