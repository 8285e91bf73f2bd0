use std::fmt;

use crate::syntax::{Comparison, Field, Operator, Value};

/// Condition on a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Filter {
    /// One comparison.
    Is(Comparison),
    /// The opposite.
    Not(Box<Filter>),
    /// Every one; at least two.
    And(Vec<Filter>),
    /// Any one; at least two.
    Or(Vec<Filter>),
}

impl Filter {
    /// Evaluates the condition. `value` returns the value of a field; a field without one is equal to nothing and has
    /// no order.
    pub fn matches(&self, value: &dyn Fn(Field) -> Option<Value>) -> bool {
        match self {
            Self::Is(comparison) => match value(comparison.field) {
                Some(found) => comparison.operator.holds(&found, &comparison.value),
                None => comparison.operator == Operator::NotEqual,
            },
            Self::Not(inner) => !inner.matches(value),
            Self::And(parts) => parts.iter().all(|part| part.matches(value)),
            Self::Or(parts) => parts.iter().any(|part| part.matches(value)),
        }
    }

    fn print_parts(f: &mut fmt::Formatter<'_>, parts: &[Filter], word: &str) -> fmt::Result {
        for (i, part) in parts.iter().enumerate() {
            if i > 0 {
                write!(f, " {word} ")?;
            }
            let looser = matches!(part, Self::Or(_)) || (word == "and" && part.is_and());
            match looser {
                true => write!(f, "({part})")?,
                false => write!(f, "{part}")?,
            }
        }
        Ok(())
    }

    fn is_and(&self) -> bool {
        matches!(self, Self::And(_))
    }
}

impl fmt::Display for Filter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Is(comparison) => comparison.fmt(f),
            Self::Not(inner) => match **inner {
                Self::And(_) | Self::Or(_) => write!(f, "not ({inner})"),
                _ => write!(f, "not {inner}"),
            },
            Self::And(parts) => Self::print_parts(f, parts, "and"),
            Self::Or(parts) => Self::print_parts(f, parts, "or"),
        }
    }
}
