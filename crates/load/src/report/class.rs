use std::fmt;

use lagoon_core::work::{WorkKind, WorkSpec};
use serde::Serialize;

/// Class of work by which results are grouped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(crate) struct Class {
    pub(crate) flood: bool,
    pub(crate) kind: WorkKind,
    pub(crate) urgent: bool,
}

impl Class {
    pub(crate) fn of(spec: &WorkSpec, flood: bool) -> Self {
        Self {
            flood,
            kind: spec.kind,
            urgent: spec.priority.is_urgent(),
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flood = if self.flood { "flood " } else { "" };
        let urgent = if self.urgent { " urgent" } else { "" };
        write!(f, "{flood}{}{urgent}", self.kind)
    }
}
