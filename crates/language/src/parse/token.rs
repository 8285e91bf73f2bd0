//! Words, symbols and texts in quotes. Each one skips the space before it and notes what was expected if it fails.

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

/// Reads one item with `parser`, or notes `expected` at its position and takes nothing.
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
            input.state.miss(position, *expected);
        }
        input.reset(&start);
    }
    parsed
}

/// Notes `expected` at the next item without reading it.
pub(super) fn note(input: &mut Input<'_>, expected: Expected) {
    // `fail` takes nothing, so the input stays where it is.
    let _ = expect(input, &[expected], fail::<_, (), EmptyError>);
}

/// A word that `read` accepts.
pub(super) fn word<'a, T>(
    input: &mut Input<'a>,
    expected: &[Expected],
    read: impl FnMut(&'a str) -> Option<T>,
) -> Parsed<T> {
    let word = take_while(1.., is_word_char);
    expect(input, expected, word.verify_map(read))
}

/// A word, or a list of `name=value` parts.
pub(super) fn setting_value<'a, T>(
    input: &mut Input<'a>,
    form: &'static str,
    read: impl FnMut(&'a str) -> Option<T>,
) -> Parsed<T> {
    let word = take_while(1.., |c| is_word_char(c) || c == '=' || c == ',');
    expect(input, &[Expected::Form(form)], word.verify_map(read))
}

/// A word that parses to `T`.
pub(super) fn id<T: FromStr>(input: &mut Input<'_>, form: &'static str) -> Parsed<T> {
    word(input, &[Expected::Form(form)], |word| word.parse().ok())
}

pub(super) fn keyword(input: &mut Input<'_>, expected: &'static str) -> Parsed<()> {
    let matches = |word: &str| (word == expected).then_some(());
    word(input, &[Expected::Word(expected)], matches)
}

/// A keyword and, if it stands there, the rest that it begins.
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

/// Name of one of the fields of `table`.
pub(super) fn field(input: &mut Input<'_>, table: Table) -> Parsed<Field> {
    let names = table.fields().iter();
    let expected: Vec<Expected> = names.map(|field| Expected::Word(field.name())).collect();
    word(input, &expected, |word| table.field(word))
}

/// A value of a field; only a text may stand in quotes.
pub(super) fn value(input: &mut Input<'_>, kind: ValueKind) -> Parsed<Value> {
    let expected = [Expected::Form(kind.form())];
    if kind == ValueKind::Text
        && let Ok(text) = expect(input, &expected, quoted)
    {
        return Ok(Value::Text(text));
    }
    word(input, &expected, |word| kind.read(word))
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
