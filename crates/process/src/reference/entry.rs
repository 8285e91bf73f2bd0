use std::fmt;

use serde::Serialize;

/// One key of a settings file or of the policy document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// Path of the key.
    pub key: &'static str,
    /// Unit or type of the value.
    pub unit: &'static str,
    /// Default as written in a file, `null` for no value. A key without a default is required.
    pub default: Option<&'static str>,
    /// Valid values.
    pub range: &'static str,
    /// Description of the key.
    pub meaning: &'static str,
}

impl Entry {
    /// Returns the default in human-readable form.
    pub fn default_text(&self) -> &'static str {
        match self.default {
            None => "required",
            Some("null") => "none",
            Some(text) => text,
        }
    }

    /// Returns true if `key` is this key or an ancestor of it.
    pub fn matches(&self, key: &str) -> bool {
        let mut parts = self.key.split('.');
        key.split('.').all(|requested| {
            let part = parts.next();
            part.is_some_and(|part| part == requested || is_placeholder(part))
        })
    }
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let default = self.default_text();
        writeln!(f, "{}: {}", self.key, self.meaning)?;
        write!(
            f,
            "  unit: {}; default: {default}; range: {}",
            self.unit, self.range
        )
    }
}

fn is_placeholder(part: &str) -> bool {
    part.chars().all(|c| c.is_ascii_uppercase())
}

/// Builds a list of entries from `key: unit, default, range, meaning;`, where the default is a literal or `required`.
macro_rules! entries {
    (@default required) => { None };
    (@default $text:literal) => { Some($text) };
    ($($key:literal: $unit:literal, $default:tt, $range:literal, $meaning:literal;)*) => {
        &[$($crate::reference::Entry {
            key: $key,
            unit: $unit,
            default: entries!(@default $default),
            range: $range,
            meaning: $meaning,
        },)*]
    };
}

pub(super) use entries;
