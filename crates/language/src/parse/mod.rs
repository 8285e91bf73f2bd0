//! Parser, built with `winnow`. Field names and values are validated while parsing, so that an error points at the
//! offending word.

mod command;
mod farthest_failure;
mod filter;
mod input;
mod query;
mod setting;
mod token;

use winnow::Parser;
use winnow::combinator::alt;
use winnow::error::EmptyError;

pub(crate) use self::farthest_failure::{Expected, FarthestFailure};
use crate::SyntaxError;
use crate::parse::input::Input;
use crate::syntax::{Statement, is_word_char};

/// Result of a parser. The expected alternatives are kept in [`FarthestFailure`] instead of the error: an optional part
/// that does not match is not an error, but it still counts as an alternative at its position.
type Parsed<T> = Result<T, EmptyError>;

/// Maximum length of a statement in bytes.
const MAX_TEXT_BYTES: usize = 64 << 10;

/// Parses a query or command.
///
/// # Errors
///
/// Returns an error with the position and the expected alternatives if `text` is not a valid statement.
pub fn parse(text: &str) -> Result<Statement, SyntaxError> {
    if text.len() > MAX_TEXT_BYTES {
        let expected = vec![format!("a text of at most {} KiB", MAX_TEXT_BYTES >> 10)];
        return Err(SyntaxError::new(1, String::new(), expected));
    }
    let (statement, failure) = parse_prefix(text);
    statement.ok_or_else(|| to_syntax_error(text, &failure))
}

/// Parses as much of `text` as possible and returns the expected alternatives at the farthest failure.
pub(crate) fn parse_prefix(text: &str) -> (Option<Statement>, FarthestFailure) {
    let mut input = input::new(text);
    let statement = statement(&mut input).ok();
    (statement, input.state)
}

fn statement(input: &mut Input<'_>) -> Parsed<Statement> {
    let statement = alt((
        query::query.map(Statement::Query),
        command::command.map(Statement::Command),
    ))
    .parse_next(input)?;
    token::end(input)?;
    Ok(statement)
}

fn to_syntax_error(text: &str, failure: &FarthestFailure) -> SyntaxError {
    let position = failure.position();
    let (before, rest) = text.split_at(position);
    let word_len = rest.find(|c| !is_word_char(c)).unwrap_or(rest.len());
    let found = match rest.chars().next() {
        Some(first) if word_len == 0 => first.to_string(),
        _ => rest[..word_len].chars().take(64).collect(),
    };
    let expected = failure.expected().iter().map(ToString::to_string);
    SyntaxError::new(before.chars().count() + 1, found, expected.collect())
}
