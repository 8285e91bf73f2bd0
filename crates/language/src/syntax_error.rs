use std::fmt;

/// Error for text that is not a valid query or command: its position and what was expected there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SyntaxError {
    column: usize,
    found: String,
    expected: Vec<String>,
}

impl SyntaxError {
    pub(crate) fn new(column: usize, found: String, expected: Vec<String>) -> Self {
        Self {
            column,
            found,
            expected,
        }
    }

    /// Returns the position of the error as a character index that starts at 1.
    pub fn column(&self) -> usize {
        self.column
    }

    /// Returns the word or character at the error position, or an empty string at the end of the text.
    pub fn found(&self) -> &str {
        &self.found
    }

    /// Returns the alternatives that the grammar accepts at the error position.
    pub fn expected(&self) -> &[String] {
        &self.expected
    }

    /// Renders `text` with a caret below the error position, followed by the message, for a terminal.
    pub fn render(&self, text: &str) -> String {
        let line: String = text
            .chars()
            .map(|c| if c.is_control() { ' ' } else { c })
            .collect();
        format!("{line}\n{:>column$}\n{self}", "^", column = self.column)
    }
}

impl fmt::Display for SyntaxError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "column {}: ", self.column)?;
        match self.found.is_empty() {
            true => f.write_str("unexpected end of input")?,
            false => write!(f, "found {:?}", self.found)?,
        }
        for (i, expected) in self.expected.iter().enumerate() {
            let separator = match i {
                0 => ", expected ",
                i if i + 1 == self.expected.len() => " or ",
                _ => ", ",
            };
            write!(f, "{separator}{expected}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SyntaxError {}
