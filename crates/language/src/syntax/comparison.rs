use std::fmt;

use crate::syntax::{Field, Operator, Value};

/// A comparison of a field with a value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Comparison {
    /// The field.
    pub field: Field,
    /// The comparison operator.
    pub operator: Operator,
    /// The value, of the field's kind.
    pub value: Value,
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.field, self.operator, self.value)
    }
}
