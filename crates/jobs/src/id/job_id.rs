use std::fmt;
use std::str::FromStr;

use lagoon_core::id::ParseIdError;
use lagoon_core::text_serde;
use serde::{Deserialize, Serialize};

const DIGITS: usize = 16;

/// Id of a job, chosen by its caller: 16 lower-case hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct JobId(u64);

impl JobId {
    /// Creates an id from the value of its digits.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the low 32 bits of the id, for distributing jobs evenly.
    pub(crate) const fn low_bits(self) -> u32 {
        self.0 as u32
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseIdError::new("job id", text);
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != DIGITS || !text.bytes().all(is_digit) {
            return Err(invalid());
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| invalid())
    }
}

text_serde!(JobId);
