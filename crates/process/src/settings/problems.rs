use crate::settings::{Checked, Problem};

/// Collects the problems of a settings file.
#[derive(Debug, Default)]
pub struct Problems {
    prefix: String,
    found: Vec<Problem>,
}

impl Problems {
    /// Adds a problem of `key` with the expected value unless `holds` is true.
    pub fn require(&mut self, holds: bool, key: &str, expected: &str) {
        if !holds {
            self.add(key, format!("expected {expected}"));
        }
    }

    /// Adds a problem of `key` with this message.
    pub fn add(&mut self, key: &str, message: impl Into<String>) {
        let key = format!("{}{key}", self.prefix);
        let message = message.into();
        self.found.push(Problem { key, message });
    }

    /// Checks the settings nested below `key`.
    pub fn check_nested(&mut self, key: &str, part: &impl Checked) {
        let outer = self.prefix.clone();
        self.prefix = format!("{outer}{key}.");
        part.check(self);
        self.prefix = outer;
    }

    pub(crate) fn into_problems(self) -> Vec<Problem> {
        self.found
    }
}
