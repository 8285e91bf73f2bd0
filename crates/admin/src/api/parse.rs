use lagoon_core::{Refusal, ResultCode};
use lagoon_language::{Command, Query, Statement};
use serde::de::DeserializeOwned;
use serde_json::error::Category;

/// Parses a JSON body.
///
/// # Errors
///
/// Returns `malformed` for invalid JSON or a missing field, `unknown_field` for an unknown field, and `invalid_value` for
/// any other invalid value.
pub(super) fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|e| {
        let message = e.to_string();
        let code = match e.classify() {
            Category::Data if message.contains("unknown field") => ResultCode::UnknownField,
            Category::Data if message.contains(" field `") => ResultCode::Malformed,
            Category::Data => ResultCode::InvalidValue,
            Category::Syntax | Category::Eof | Category::Io => ResultCode::Malformed,
        };
        Refusal::new(code, message)
    })
}

/// Parses a query.
///
/// # Errors
///
/// Returns `command_syntax` if the text is invalid or a command.
pub(super) fn parse_query(text: &str) -> Result<Query, Refusal> {
    match parse(text)? {
        Statement::Query(query) => Ok(query),
        Statement::Command(_) => Err(syntax(
            "expected a query, got a command; use preview and apply",
        )),
    }
}

/// Parses a command.
///
/// # Errors
///
/// Returns `command_syntax` if the text is invalid or a query.
pub(super) fn parse_command(text: &str) -> Result<Command, Refusal> {
    match parse(text)? {
        Statement::Command(command) => Ok(command),
        Statement::Query(_) => Err(syntax("expected a command, got a query")),
    }
}

fn parse(text: &str) -> Result<Statement, Refusal> {
    lagoon_language::parse(text).map_err(|e| syntax(&e.to_string()))
}

fn syntax(message: &str) -> Refusal {
    Refusal::new(ResultCode::CommandSyntax, message)
}
