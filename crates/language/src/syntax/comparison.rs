use std::fmt;

use crate::syntax::{Field, Operator, Value};

/// One condition on a field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Comparison {
    /// The field.
    pub field: Field,
    /// How it is compared.
    pub operator: Operator,
    /// With what; of the field's kind.
    pub value: Value,
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.field, self.operator, self.value)
    }
}
