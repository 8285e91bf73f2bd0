use std::fmt;

use lagoon_core::membership::stable_hash;
use serde::{Deserialize, Serialize};

use crate::util::Versions;

/// Code that binds an apply to its preview. It protects against mistakes, not against forgery.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Confirmation(String);

impl Confirmation {
    pub(super) fn new(text: &str, affected: &[String], versions: &Versions) -> Self {
        let versions = versions.to_string();
        let mut parts = vec![text, versions.as_str()];
        parts.extend(affected.iter().map(String::as_str));
        Self(format!("{:016x}", stable_hash(&parts)))
    }
}

impl fmt::Display for Confirmation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
