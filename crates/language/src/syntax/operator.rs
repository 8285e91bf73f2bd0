use std::cmp::Ordering;
use std::fmt;

use crate::syntax::Value;

/// How a field is compared with a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Operator {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<=`
    AtMost,
    /// `<`
    Less,
    /// `>=`
    AtLeast,
    /// `>`
    Greater,
    /// `~`: the text contains the value.
    Contains,
}

impl Operator {
    /// Every value; an operator that begins another one comes after it.
    pub const ALL: &[Self] = &[
        Self::Equal,
        Self::NotEqual,
        Self::AtMost,
        Self::Less,
        Self::AtLeast,
        Self::Greater,
        Self::Contains,
    ];

    /// Returns the symbol.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Equal => "=",
            Self::NotEqual => "!=",
            Self::AtMost => "<=",
            Self::Less => "<",
            Self::AtLeast => ">=",
            Self::Greater => ">",
            Self::Contains => "~",
        }
    }

    /// Compares; values of unlike kinds differ and have no order.
    pub fn holds(self, found: &Value, wanted: &Value) -> bool {
        let order = found.compare(wanted);
        match self {
            Self::Equal => order == Some(Ordering::Equal),
            Self::NotEqual => order != Some(Ordering::Equal),
            Self::AtMost => order.is_some_and(Ordering::is_le),
            Self::Less => order.is_some_and(Ordering::is_lt),
            Self::AtLeast => order.is_some_and(Ordering::is_ge),
            Self::Greater => order.is_some_and(Ordering::is_gt),
            Self::Contains => match (found, wanted) {
                (Value::Text(found), Value::Text(wanted)) => found.contains(wanted.as_str()),
                _ => false,
            },
        }
    }
}

impl fmt::Display for Operator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
