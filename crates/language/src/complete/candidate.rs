/// A completion of the last word of a text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    text: &'static str,
    start: usize,
    hint: bool,
}

impl Candidate {
    pub(crate) fn new(text: &'static str, start: usize, hint: bool) -> Self {
        Self { text, start, hint }
    }

    /// Returns the completed word, or the description of the expected value if this is a hint.
    pub fn text(&self) -> &'static str {
        self.text
    }

    /// Returns the byte offset of the word that the candidate replaces.
    pub fn start(&self) -> usize {
        self.start
    }

    /// Returns true if the text describes a value and can't be inserted.
    pub fn is_hint(&self) -> bool {
        self.hint
    }
}
