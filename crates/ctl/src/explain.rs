use std::io::Write;

use lagoon_process::{exit, reference};
use serde_json::{Value, json};

use crate::args::{ExplainArgs, OutputFormat};
use crate::failure::Failure;
use crate::render::render;

/// Prints the entries of a key in every kind of file that has it, or the whole reference.
pub(crate) fn explain(
    args: &ExplainArgs,
    format: OutputFormat,
    out: &mut dyn Write,
) -> Result<u8, Failure> {
    let Some(key) = &args.key else {
        let _ = write!(out, "{}", reference::page());
        return Ok(exit::SUCCESS);
    };
    let found = reference::find(key);
    if found.is_empty() {
        return Err(Failure::Usage(unknown(key)));
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
        [] => format!("no settings key is named {key:?}; lagoonctl explain prints all"),
        ref keys => format!(
            "no settings key is named {key:?}; similar: {}",
            keys.join(", ")
        ),
    }
}
