use lagoon_core::unit::{Millis, Timestamp};

use crate::scenario::Size;

/// Times of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Times {
    pub(crate) start: Timestamp,
    /// Work arrives from here on, after the workers were leased.
    pub(crate) arrivals: Timestamp,
    /// A flood begins, some time before it is measured: throughput is that of a flood that lasts.
    pub(crate) flood: Timestamp,
    /// Work that arrives from here on is measured.
    pub(crate) measured: Timestamp,
    /// The last work arrives.
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
            // The start deadline of the last work is 120 s after its arrival.
            end: seconds(335, 243),
        }
    }
}
