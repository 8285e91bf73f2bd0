use std::fmt;

/// One thing that is wrong in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Path of the key, such as `metrics.statsd`; empty for the whole file.
    pub key: String,
    /// What is wrong and which form is expected.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key.as_str() {
            "" => f.write_str(&self.message),
            key => write!(f, "{key}: {}", self.message),
        }
    }
}
