use winnow::Parser;
use winnow::combinator::separated;
use winnow::error::EmptyError;

use crate::parse::input::Input;
use crate::parse::token::{field, keyword, record_expected, symbol, value};
use crate::parse::{Expected, Parsed};
use crate::syntax::{Comparison, Filter, Operator, Table, ValueKind};

/// Maximum nesting depth of `not` and parentheses; bounds the parser's recursion.
const MAX_DEPTH: usize = 32;

pub(super) fn filter(input: &mut Input<'_>, table: Table) -> Parsed<Filter> {
    disjunction(input, table, 0)
}

fn disjunction(input: &mut Input<'_>, table: Table, depth: usize) -> Parsed<Filter> {
    let part = |input: &mut Input<'_>| conjunction(input, table, depth);
    let or = |input: &mut Input<'_>| keyword(input, "or");
    let parts: Vec<Filter> = separated(1.., part, or).parse_next(input)?;
    Ok(group_if_many(parts, Filter::Or))
}

fn conjunction(input: &mut Input<'_>, table: Table, depth: usize) -> Parsed<Filter> {
    let part = |input: &mut Input<'_>| condition(input, table, depth);
    let and = |input: &mut Input<'_>| keyword(input, "and");
    let parts: Vec<Filter> = separated(1.., part, and).parse_next(input)?;
    Ok(group_if_many(parts, Filter::And))
}

fn group_if_many(mut parts: Vec<Filter>, group: fn(Vec<Filter>) -> Filter) -> Filter {
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
            let inner = disjunction(input, table, depth + 1)?;
            symbol(input, ")")?;
            return Ok(inner);
        }
    } else {
        record_expected(input, Expected::Value("at most 32 levels of nesting"));
    }
    comparison(input, table).map(Filter::Comparison)
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
