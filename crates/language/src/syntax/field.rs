use std::fmt;

use crate::syntax::ValueKind;

/// A field of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Field {
    name: &'static str,
    kind: ValueKind,
}

impl Field {
    pub(crate) const fn new(name: &'static str, kind: ValueKind) -> Self {
        Self { name, kind }
    }

    /// Returns the name.
    pub fn name(&self) -> &'static str {
        self.name
    }

    /// Returns the type of the values.
    pub fn kind(&self) -> ValueKind {
        self.kind
    }
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name)
    }
}
