//! Completion for a prompt, from the same grammar: what the parser expected at the end of the text.

mod candidate;

pub use self::candidate::Candidate;
use crate::parse::{Expected, attempt};
use crate::syntax::is_word_char;

/// Returns what the word at the end of `prefix` could become, in the order of the grammar.
pub fn complete(prefix: &str) -> Vec<Candidate> {
    let start = prefix.trim_end_matches(is_word_char).len();
    let (head, word) = prefix.split_at(start);
    let (_, progress) = attempt(head);
    if progress.position() != head.len() {
        return Vec::new();
    }
    let candidate = |expected: &Expected| match expected {
        Expected::Word(text) => text
            .starts_with(word)
            .then(|| Candidate::new(text, start, false)),
        Expected::Form(text) => word.is_empty().then(|| Candidate::new(text, start, true)),
        Expected::Symbol(_) | Expected::End => None,
    };
    progress.expected().iter().filter_map(candidate).collect()
}
