//! Words, symbols and quoted strings. Each parser skips leading whitespace and records what it expected if it fails.

use std::str::FromStr;

use winnow::Parser;
use winnow::ascii::multispace0;
use winnow::combinator::{eof, fail, opt, preceded};
use winnow::error::EmptyError;
use winnow::stream::{Location, Stream};
use winnow::token::{any, literal, take_while};

use crate::parse::input::Input;
use crate::parse::{Expected, Parsed};
use crate::syntax::{Field, Table, Value, ValueKind, is_word_char};

/// Runs `parser` on the next token. On failure, records `expected` at its position and consumes nothing.
fn expect<'a, T>(
    input: &mut Input<'a>,
    expected: &[Expected],
    mut parser: impl Parser<Input<'a>, T, EmptyError>,
) -> Parsed<T> {
    let start = input.checkpoint();
    multispace0::<_, EmptyError>.parse_next(input)?;
    let position = input.current_token_start();
    let parsed = parser.parse_next(input);
    if parsed.is_err() {
        for expected in expected {
            input.state.record(position, *expected);
        }
        input.reset(&start);
    }
    parsed
}

/// Records `expected` at the next token without consuming it.
pub(super) fn record_expected(input: &mut Input<'_>, expected: Expected) {
    // `fail` consumes nothing, so the position does not change.
    let _ = expect(input, &[expected], fail::<_, (), EmptyError>);
}

/// Parses a word that `parse` accepts.
pub(super) fn word<'a, T>(
    input: &mut Input<'a>,
    expected: &[Expected],
    parse: impl FnMut(&'a str) -> Option<T>,
) -> Parsed<T> {
    let word = take_while(1.., is_word_char);
    expect(input, expected, word.verify_map(parse))
}

/// Parses the value of a setting: a word or a comma-separated list of `name=value` pairs.
pub(super) fn setting_value<'a, T>(
    input: &mut Input<'a>,
    description: &'static str,
    parse: impl FnMut(&'a str) -> Option<T>,
) -> Parsed<T> {
    let word = take_while(1.., |c| is_word_char(c) || c == '=' || c == ',');
    expect(
        input,
        &[Expected::Value(description)],
        word.verify_map(parse),
    )
}

/// Parses a word with the `FromStr` implementation of `T`.
pub(super) fn id<T: FromStr>(input: &mut Input<'_>, description: &'static str) -> Parsed<T> {
    word(input, &[Expected::Value(description)], |word| {
        word.parse().ok()
    })
}

pub(super) fn keyword(input: &mut Input<'_>, expected: &'static str) -> Parsed<()> {
    let matches = |word: &str| (word == expected).then_some(());
    word(input, &[Expected::Word(expected)], matches)
}

/// Parses an optional clause: the keyword `first` and what follows it.
pub(super) fn clause<'a, T>(
    input: &mut Input<'a>,
    first: &'static str,
    rest: impl Parser<Input<'a>, T, EmptyError>,
) -> Parsed<Option<T>> {
    opt(preceded(
        |input: &mut Input<'a>| keyword(input, first),
        rest,
    ))
    .parse_next(input)
}

pub(super) fn symbol(input: &mut Input<'_>, text: &'static str) -> Parsed<()> {
    expect(input, &[Expected::Symbol(text)], literal(text).void())
}

pub(super) fn end(input: &mut Input<'_>) -> Parsed<()> {
    expect(input, &[Expected::End], eof.void())
}

/// Parses the name of a field of `table`.
pub(super) fn field(input: &mut Input<'_>, table: Table) -> Parsed<Field> {
    let names = table.fields().iter();
    let expected: Vec<Expected> = names.map(|field| Expected::Word(field.name())).collect();
    word(input, &expected, |word| table.field(word))
}

/// Parses the value of a field. Only a text value may be quoted.
pub(super) fn value(input: &mut Input<'_>, kind: ValueKind) -> Parsed<Value> {
    let expected = [Expected::Value(kind.description())];
    if kind == ValueKind::Text
        && let Ok(text) = expect(input, &expected, quoted)
    {
        return Ok(Value::Text(text));
    }
    word(input, &expected, |word| kind.parse(word))
}

fn quoted(input: &mut Input<'_>) -> Parsed<String> {
    literal('"').parse_next(input)?;
    let mut text = String::new();
    loop {
        match any.parse_next(input)? {
            '"' => return Ok(text),
            '\\' => text.push(any.verify(|c| matches!(c, '"' | '\\')).parse_next(input)?),
            c => text.push(c),
        }
    }
}
