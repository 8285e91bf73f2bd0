use std::fmt;

/// One problem in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Path of the key, such as `metrics.statsd`; empty if the whole file is affected.
    pub key: String,
    /// Description of the problem and the expected format.
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
