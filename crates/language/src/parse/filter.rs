use winnow::Parser;
use winnow::combinator::separated;
use winnow::error::EmptyError;

use crate::parse::input::Input;
use crate::parse::token::{field, keyword, note, symbol, value};
use crate::parse::{Expected, Parsed};
use crate::syntax::{Comparison, Filter, Operator, Table, ValueKind};

/// Largest depth of `not` and parentheses; bounds the recursion.
const MAX_DEPTH: usize = 32;

pub(super) fn filter(input: &mut Input<'_>, table: Table) -> Parsed<Filter> {
    any_of(input, table, 0)
}

fn any_of(input: &mut Input<'_>, table: Table, depth: usize) -> Parsed<Filter> {
    let part = |input: &mut Input<'_>| all_of(input, table, depth);
    let or = |input: &mut Input<'_>| keyword(input, "or");
    let parts: Vec<Filter> = separated(1.., part, or).parse_next(input)?;
    Ok(single_or(parts, Filter::Or))
}

fn all_of(input: &mut Input<'_>, table: Table, depth: usize) -> Parsed<Filter> {
    let part = |input: &mut Input<'_>| condition(input, table, depth);
    let and = |input: &mut Input<'_>| keyword(input, "and");
    let parts: Vec<Filter> = separated(1.., part, and).parse_next(input)?;
    Ok(single_or(parts, Filter::And))
}

fn single_or(mut parts: Vec<Filter>, group: fn(Vec<Filter>) -> Filter) -> Filter {
    match parts.len() {
        1 => parts.remove(0),
        _ => group(parts),
    }
}

fn condition(input: &mut Input<'_>, table: Table, depth: usize) -> Parsed<Filter> {
    if depth < MAX_DEPTH {
        if keyword(input, "not").is_ok() {
            let inner = condition(input, table, depth + 1)?;
            return Ok(Filter::Not(Box::new(inner)));
        }
        if symbol(input, "(").is_ok() {
            let inner = any_of(input, table, depth + 1)?;
            symbol(input, ")")?;
            return Ok(inner);
        }
    } else {
        note(input, Expected::Form("no deeper nesting"));
    }
    comparison(input, table).map(Filter::Is)
}

fn comparison(input: &mut Input<'_>, table: Table) -> Parsed<Comparison> {
    let field = field(input, table)?;
    let operator = operator(input, field.kind())?;
    let value = value(input, field.kind())?;
    Ok(Comparison {
        field,
        operator,
        value,
    })
}

fn operator(input: &mut Input<'_>, kind: ValueKind) -> Parsed<Operator> {
    let fits = |operator: &&Operator| **operator != Operator::Contains || kind == ValueKind::Text;
    for operator in Operator::ALL.iter().filter(fits) {
        if symbol(input, operator.as_str()).is_ok() {
            return Ok(*operator);
        }
    }
    Err(EmptyError)
}
