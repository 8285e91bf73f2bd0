use lagoon_core::unit::{Millis, Timestamp};
use rustix::time::{ClockId, clock_gettime};

/// Monotonic clock that reads the wall clock once and then advances with `CLOCK_BOOTTIME`.
///
/// It never goes back and keeps advancing while the process or the host is suspended, so that a lease that expired
/// during a pause is seen as expired at once.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    wall: Timestamp,
    boot: Millis,
}

impl Clock {
    /// Creates a clock that starts at the current wall-clock time.
    pub fn anchored() -> Self {
        let wall = jiff::Timestamp::now().as_millisecond();
        Self {
            wall: Timestamp::from_millis(wall.max(0) as u64),
            boot: since_boot(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.wall.after(since_boot().saturating_sub(self.boot))
    }
}

fn since_boot() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    Millis::new(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}
