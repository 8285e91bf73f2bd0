//! Completion for a prompt, derived from what the parser expected at the end of the text.

mod candidate;

pub use self::candidate::Candidate;
use crate::parse::{Expected, parse_prefix};
use crate::syntax::is_word_char;

/// Returns the completions of the last word of `prefix`, in the order of the grammar.
pub fn complete(prefix: &str) -> Vec<Candidate> {
    let start = prefix.trim_end_matches(is_word_char).len();
    let (head, word) = prefix.split_at(start);
    let (_, failure) = parse_prefix(head);
    if failure.position() != head.len() {
        return Vec::new();
    }
    let candidate = |expected: &Expected| match expected {
        Expected::Word(text) => text
            .starts_with(word)
            .then(|| Candidate::new(text, start, false)),
        Expected::Value(text) => word.is_empty().then(|| Candidate::new(text, start, true)),
        Expected::Symbol(_) | Expected::End => None,
    };
    failure.expected().iter().filter_map(candidate).collect()
}
