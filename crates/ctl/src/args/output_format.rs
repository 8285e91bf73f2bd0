use std::fmt;
use std::str::FromStr;

/// Format of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    Table,
    Json,
    Yaml,
}

impl fmt::Display for OutputFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Table => "table",
            Self::Json => "json",
            Self::Yaml => "yaml",
        })
    }
}

impl FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let all = [Self::Table, Self::Json, Self::Yaml];
        let found = all.into_iter().find(|format| format.to_string() == text);
        found.ok_or_else(|| format!("{text:?} is not valid: expected table, json or yaml"))
    }
}
