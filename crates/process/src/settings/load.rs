use std::path::Path;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::settings::placeholder::{placeholder_values, set_at_path};
use crate::settings::tracked_deserializer::{PathTrace, TrackedDeserializer};
use crate::settings::{Checked, Problem, Problems, SettingsErrors};

/// Limits the work on a file with errors throughout.
const MAX_PROBLEMS: usize = 100;

/// Error of one deserialization attempt, with the path of the key.
struct ReadError {
    path: Vec<String>,
    message: String,
}

/// Loads and validates a settings file.
///
/// # Errors
///
/// Returns all problems of the file.
pub fn load<T: DeserializeOwned + Checked>(path: &Path) -> Result<T, SettingsErrors> {
    let file_problem = |message: String| Problem {
        key: String::new(),
        message,
    };
    let text = std::fs::read_to_string(path).map_err(|e| {
        let message = format!("can't be read: {e}; expected a YAML file");
        SettingsErrors::new(path, vec![file_problem(message)])
    })?;
    parse(path, &text)
}

/// Parses and validates the text of a settings file; `path` is used only in messages.
///
/// # Errors
///
/// Returns all problems of the text.
pub fn parse<T: DeserializeOwned + Checked>(path: &Path, text: &str) -> Result<T, SettingsErrors> {
    // JSON is tried first: YAML rejects some valid JSON, such as tabs for indentation.
    let json = serde_json::from_str(text);
    let value: Value =
        json.or_else(|_| serde_saphyr::from_str(text))
            .map_err(|e: serde_saphyr::Error| {
                let key = String::new();
                // The parser appends an excerpt of the file; the first line has the position.
                let detail = e.to_string();
                let place = detail.lines().next().unwrap_or_default();
                let message = format!("is not valid YAML: {place}");
                SettingsErrors::new(path, vec![Problem { key, message }])
            })?;
    let (settings, mut found, replaced) = read_with_placeholders::<T>(value);
    if let Some(settings) = &settings {
        let mut problems = Problems::default();
        settings.check(&mut problems);
        let is_reported = |problem: &Problem| !replaced.contains(&problem.key);
        found.extend(problems.into_problems().into_iter().filter(is_reported));
    }
    match (settings, found.is_empty()) {
        (Some(settings), true) => Ok(settings),
        _ => Err(SettingsErrors::new(path, found)),
    }
}

/// Deserializes `value` repeatedly, replacing each invalid value by a placeholder, until all syntax and type errors are
/// found. Returns the settings, the problems, and the keys that hold placeholders.
fn read_with_placeholders<T: DeserializeOwned>(
    mut value: Value,
) -> (Option<T>, Vec<Problem>, Vec<String>) {
    let mut found = Vec::new();
    let mut replaced = Vec::new();
    loop {
        let error = match read::<T>(&value) {
            Ok(settings) => return (Some(settings), found, replaced),
            Err(error) => error,
        };
        let path = error.path;
        let key = path.join(".");
        let is_stalled = replaced.contains(&key) || found.len() >= MAX_PROBLEMS;
        // Errors below a mapping that was replaced as a whole come from its placeholder.
        let is_nested = |replaced_key: &String| key.starts_with(&format!("{replaced_key}."));
        if !is_stalled && !replaced.iter().any(is_nested) {
            let message = error.message.clone();
            found.push(Problem {
                key: key.clone(),
                message,
            });
        }
        let repaired = match quoted_after(&error.message, "unknown field ") {
            Some(_) => set_at_path(&mut value, &path, None),
            None => replace::<T>(&mut value, &path),
        };
        if is_stalled || !repaired {
            return (None, found, replaced);
        }
        replaced.push(key);
    }
}

fn read<T: DeserializeOwned>(value: &Value) -> Result<T, ReadError> {
    let trace = PathTrace::default();
    let tracked = TrackedDeserializer {
        value,
        trace: &trace,
    };
    T::deserialize(tracked).map_err(|e| {
        let message = e.to_string();
        let mut path = trace.into_error_path();
        if let Some(field) = quoted_after(&message, "missing field ") {
            path.push(field.to_owned());
        }
        ReadError { path, message }
    })
}

/// Puts a placeholder that the type accepts at `path`. Returns false if none is accepted.
fn replace<T: DeserializeOwned>(value: &mut Value, path: &[String]) -> bool {
    placeholder_values().into_iter().any(|candidate| {
        let mut trial = value.clone();
        let is_mapping = candidate.is_object();
        // An empty mapping is accepted if only keys below it are missing; those are replaced next.
        let is_past_path =
            |e: ReadError| !e.path.starts_with(path) || (is_mapping && e.path.len() > path.len());
        let accepted = set_at_path(&mut trial, path, Some(candidate))
            && read::<T>(&trial).err().is_none_or(is_past_path);
        if accepted {
            *value = trial;
        }
        accepted
    })
}

fn quoted_after<'a>(message: &'a str, start: &str) -> Option<&'a str> {
    let rest = message.strip_prefix(start)?.strip_prefix('`')?;
    rest.split('`').next()
}
