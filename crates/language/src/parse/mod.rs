//! The grammar, by `winnow`. Names of fields and forms of values are checked while parsing, so that an error points at
//! the word that is wrong.

mod command;
mod filter;
mod input;
mod progress;
mod query;
mod setting;
mod token;

use winnow::Parser;
use winnow::combinator::alt;
use winnow::error::EmptyError;

pub(crate) use self::progress::{Expected, Progress};
use crate::SyntaxError;
use crate::parse::input::Input;
use crate::syntax::{Statement, is_word_char};

/// Result of a parser. What was expected where is kept in [`Progress`], because an optional part that does not match
/// is no error, but still belongs to what could have stood at its position.
type Parsed<T> = Result<T, EmptyError>;

/// Longest text in bytes.
const MAX_TEXT: usize = 64 << 10;

/// Parses a query or command.
///
/// # Errors
///
/// When the text is not one; the error tells the position and what was expected there.
pub fn parse(text: &str) -> Result<Statement, SyntaxError> {
    if text.len() > MAX_TEXT {
        let expected = vec![format!("a text of at most {} KiB", MAX_TEXT >> 10)];
        return Err(SyntaxError::new(1, String::new(), expected));
    }
    let (statement, progress) = attempt(text);
    statement.ok_or_else(|| explain(text, &progress))
}

/// Parses as far as possible and returns what was expected at the farthest position.
pub(crate) fn attempt(text: &str) -> (Option<Statement>, Progress) {
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

fn explain(text: &str, progress: &Progress) -> SyntaxError {
    let position = progress.position();
    let (before, rest) = text.split_at(position);
    let word_len = rest.find(|c| !is_word_char(c)).unwrap_or(rest.len());
    let found = match rest.chars().next() {
        Some(first) if word_len == 0 => first.to_string(),
        _ => rest[..word_len].chars().take(64).collect(),
    };
    let expected = progress.expected().iter().map(ToString::to_string);
    SyntaxError::new(before.chars().count() + 1, found, expected.collect())
}
