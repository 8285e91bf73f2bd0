use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

/// Versions that a command depends on: the policy version or the epochs of shards.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub(crate) struct Versions(BTreeMap<String, u64>);

impl Versions {
    /// Records the version of `name`.
    pub(crate) fn add(&mut self, name: impl ToString, version: u64) {
        self.0.insert(name.to_string(), version);
    }
}

impl fmt::Display for Versions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, (name, version)) in self.0.iter().enumerate() {
            let separator = if i == 0 { "" } else { ", " };
            write!(f, "{separator}{name} {version}")?;
        }
        Ok(())
    }
}
