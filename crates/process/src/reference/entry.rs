use std::fmt;

use serde::Serialize;

/// One key of a settings file or of the policy document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// Path of the key.
    pub key: &'static str,
    /// Unit or form of the value.
    pub unit: &'static str,
    /// Default as written in a file; `null` is no value, and without a default the key is required.
    pub default: Option<&'static str>,
    /// Values that are valid.
    pub range: &'static str,
    /// What the value does.
    pub meaning: &'static str,
}

impl Entry {
    /// Returns the default for people.
    pub fn default_text(&self) -> &'static str {
        match self.default {
            None => "required",
            Some("null") => "none",
            Some(text) => text,
        }
    }

    /// Tells whether `key` is this key, or one above it.
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

/// Lists entries as `key: unit, default, range, meaning;`; the default is text or `required`.
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
