use std::io::Write;

use lagoon_process::{exit, reference};
use serde_json::{Value, json};

use crate::args::{ExplainArgs, OutputFormat};
use crate::command_error::CommandError;
use crate::render::render;

/// Prints the reference entries of a key for every kind of file that has it, or the whole reference without a key.
pub(crate) fn explain(
    args: &ExplainArgs,
    format: OutputFormat,
    out: &mut dyn Write,
) -> Result<u8, CommandError> {
    let Some(key) = &args.key else {
        let _ = write!(out, "{}", reference::page());
        return Ok(exit::SUCCESS);
    };
    let found = reference::find(key);
    if found.is_empty() {
        return Err(CommandError::Usage(unknown(key)));
    }
    if format != OutputFormat::Table {
        let entry = |(kind, entry): &_| json!({"kind": kind, "entry": entry});
        let entries: Vec<Value> = found.iter().map(entry).collect();
        let _ = writeln!(out, "{}", render(format, &json!(entries)));
        return Ok(exit::SUCCESS);
    }
    for (kind, entry) in found {
        let _ = writeln!(out, "{kind}: {entry}");
    }
    Ok(exit::SUCCESS)
}

fn unknown(key: &str) -> String {
    match reference::similar(key)[..] {
        [] => format!("unknown settings key {key:?}; run lagoonctl explain to list all keys"),
        ref keys => format!("unknown settings key {key:?}; similar: {}", keys.join(", ")),
    }
}
