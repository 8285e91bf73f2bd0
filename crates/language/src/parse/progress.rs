use std::fmt;

/// Something that could have stood at a position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Expected {
    /// This very word.
    Word(&'static str),
    /// This symbol, which a prompt does not complete.
    Symbol(&'static str),
    /// Text of a form, such as a number.
    Form(&'static str),
    /// Nothing more.
    End,
}

impl fmt::Display for Expected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Word(text) | Self::Symbol(text) => write!(f, "`{text}`"),
            Self::Form(text) => f.write_str(text),
            Self::End => f.write_str("the end"),
        }
    }
}

/// The farthest position at which a parser failed and what was expected there.
#[derive(Debug, Clone, Default)]
pub(crate) struct Progress {
    position: usize,
    expected: Vec<Expected>,
}

impl Progress {
    /// Notes that `expected` does not stand at byte `position`.
    pub(super) fn miss(&mut self, position: usize, expected: Expected) {
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
