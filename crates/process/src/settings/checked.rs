use crate::settings::Problems;

/// Rules that a type's form alone doesn't express.
pub trait Checked {
    /// Adds every broken rule to `problems`.
    fn check(&self, problems: &mut Problems);
}
