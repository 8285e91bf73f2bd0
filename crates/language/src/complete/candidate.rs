/// Something that may stand at the end of a text.
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

    /// Returns the whole word, or the form of the value if this is a hint.
    pub fn text(&self) -> &'static str {
        self.text
    }

    /// Returns the byte at which the word starts that the candidate replaces.
    pub fn start(&self) -> usize {
        self.start
    }

    /// Tells whether the text describes a value instead of being a word of the language.
    pub fn is_hint(&self) -> bool {
        self.hint
    }
}
