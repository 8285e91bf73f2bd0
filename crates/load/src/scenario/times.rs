use lagoon_core::unit::{Millis, Timestamp};

use crate::scenario::Size;

/// Points in virtual time of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Times {
    pub(crate) start: Timestamp,
    /// Start of arrivals, after all workers are leased.
    pub(crate) arrivals: Timestamp,
    /// Start of a flood. Precedes the measurement, so that throughput is that of a sustained flood.
    pub(crate) flood: Timestamp,
    /// Start of the measurement window.
    pub(crate) measured: Timestamp,
    /// End of arrivals and of the measurement window.
    pub(crate) last: Timestamp,
    pub(crate) end: Timestamp,
}

impl Times {
    pub(crate) fn of(size: Size) -> Self {
        let seconds = |full: u64, small: u64| {
            let after = match size {
                Size::Full => full,
                Size::Small => small,
            };
            Timestamp::from_millis(1_000_000).after(Millis::new(after * 1_000))
        };
        Self {
            start: seconds(0, 0),
            arrivals: seconds(5, 3),
            flood: seconds(35, 18),
            measured: seconds(65, 33),
            last: seconds(185, 93),
            // Start deadlines are 120 s after the arrival, so the last ones fall before the end.
            end: seconds(335, 243),
        }
    }
}
