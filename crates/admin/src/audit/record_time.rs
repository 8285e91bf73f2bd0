use std::fmt;

use lagoon_core::unit::{Millis, Timestamp};
use serde::{Deserialize, Serialize};

/// Wall-clock time of a record; serialized as RFC 3339 in UTC.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub(crate) struct RecordTime(jiff::Timestamp);

impl RecordTime {
    pub(crate) fn new(at: Timestamp) -> Self {
        let millis = i64::try_from(at.as_millis()).unwrap_or(i64::MAX);
        Self(jiff::Timestamp::from_millisecond(millis).unwrap_or(jiff::Timestamp::MAX))
    }

    /// Returns the time elapsed until `now`.
    pub(crate) fn age(self, now: Timestamp) -> Millis {
        let at = u64::try_from(self.0.as_millisecond()).unwrap_or(0);
        now.since(Timestamp::from_millis(at))
    }
}

impl fmt::Display for RecordTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl TryFrom<String> for RecordTime {
    type Error = jiff::Error;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse().map(Self)
    }
}

impl From<RecordTime> for String {
    fn from(time: RecordTime) -> String {
        time.to_string()
    }
}
