use std::fmt;

use crate::syntax::{Comparison, Field, Operator, Value};

/// A condition on a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Filter {
    /// A single comparison.
    Comparison(Comparison),
    /// Negation.
    Not(Box<Filter>),
    /// Conjunction of at least two conditions.
    And(Vec<Filter>),
    /// Disjunction of at least two conditions.
    Or(Vec<Filter>),
}

impl Filter {
    /// Returns true if a row matches. `value` returns the value of a field; for a field without a value, only `!=` is
    /// true.
    pub fn matches(&self, value: &dyn Fn(Field) -> Option<Value>) -> bool {
        match self {
            Self::Comparison(comparison) => match value(comparison.field) {
                Some(found) => comparison.operator.evaluate(&found, &comparison.value),
                None => comparison.operator == Operator::NotEqual,
            },
            Self::Not(inner) => !inner.matches(value),
            Self::And(parts) => parts.iter().all(|part| part.matches(value)),
            Self::Or(parts) => parts.iter().any(|part| part.matches(value)),
        }
    }

    fn write_operands(f: &mut fmt::Formatter<'_>, parts: &[Filter], word: &str) -> fmt::Result {
        for (i, part) in parts.iter().enumerate() {
            if i > 0 {
                write!(f, " {word} ")?;
            }
            let needs_parentheses = matches!(part, Self::Or(_)) || (word == "and" && part.is_and());
            match needs_parentheses {
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
            Self::Comparison(comparison) => comparison.fmt(f),
            Self::Not(inner) => match **inner {
                Self::And(_) | Self::Or(_) => write!(f, "not ({inner})"),
                _ => write!(f, "not {inner}"),
            },
            Self::And(parts) => Self::write_operands(f, parts, "and"),
            Self::Or(parts) => Self::write_operands(f, parts, "or"),
        }
    }
}
