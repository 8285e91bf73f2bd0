use std::cmp::Ordering;
use std::fmt;

use crate::syntax::Value;

/// A comparison operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Operator {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<=`
    LessOrEqual,
    /// `<`
    Less,
    /// `>=`
    GreaterOrEqual,
    /// `>`
    Greater,
    /// `~`: the field contains the value as a substring.
    Contains,
}

impl Operator {
    /// All operators. One that is a prefix of another comes after it, so that the parser tries the longer one first.
    pub const ALL: &[Self] = &[
        Self::Equal,
        Self::NotEqual,
        Self::LessOrEqual,
        Self::Less,
        Self::GreaterOrEqual,
        Self::Greater,
        Self::Contains,
    ];

    /// Returns the symbol.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Equal => "=",
            Self::NotEqual => "!=",
            Self::LessOrEqual => "<=",
            Self::Less => "<",
            Self::GreaterOrEqual => ">=",
            Self::Greater => ">",
            Self::Contains => "~",
        }
    }

    /// Applies the operator. Values of different kinds are unequal and unordered.
    pub fn evaluate(self, found: &Value, expected: &Value) -> bool {
        let order = found.compare(expected);
        match self {
            Self::Equal => order == Some(Ordering::Equal),
            Self::NotEqual => order != Some(Ordering::Equal),
            Self::LessOrEqual => order.is_some_and(Ordering::is_le),
            Self::Less => order.is_some_and(Ordering::is_lt),
            Self::GreaterOrEqual => order.is_some_and(Ordering::is_ge),
            Self::Greater => order.is_some_and(Ordering::is_gt),
            Self::Contains => match (found, expected) {
                (Value::Text(found), Value::Text(expected)) => found.contains(expected.as_str()),
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
