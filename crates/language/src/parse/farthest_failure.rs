use std::fmt;

/// An alternative that the grammar accepts at a position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Expected {
    /// A keyword or a name from a fixed list.
    Word(&'static str),
    /// A symbol; not offered as a completion.
    Symbol(&'static str),
    /// A value, by its description, such as "a number".
    Value(&'static str),
    /// The end of the text.
    End,
}

impl fmt::Display for Expected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Word(text) | Self::Symbol(text) => write!(f, "`{text}`"),
            Self::Value(text) => f.write_str(text),
            Self::End => f.write_str("the end"),
        }
    }
}

/// The farthest position at which a parser failed and the alternatives that were expected there.
#[derive(Debug, Clone, Default)]
pub(crate) struct FarthestFailure {
    position: usize,
    expected: Vec<Expected>,
}

impl FarthestFailure {
    /// Records that `expected` was not found at byte `position`. Earlier positions are discarded.
    pub(super) fn record(&mut self, position: usize, expected: Expected) {
        if position > self.position {
            self.position = position;
            self.expected.clear();
        }
        if position == self.position && !self.expected.contains(&expected) {
            self.expected.push(expected);
        }
    }

    pub(crate) fn position(&self) -> usize {
        self.position
    }

    pub(crate) fn expected(&self) -> &[Expected] {
        &self.expected
    }
}
