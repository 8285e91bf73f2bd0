use crate::settings::Problems;

/// Validation rules that deserialization alone doesn't enforce.
pub trait Checked {
    /// Adds every violated rule to `problems`.
    fn check(&self, problems: &mut Problems);
}
