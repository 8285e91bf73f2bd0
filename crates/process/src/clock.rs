use lagoon_core::unit::{Millis, Timestamp};
use rustix::time::{ClockId, clock_gettime};

/// Clock of a process: anchored once to the wall clock, then advanced by `CLOCK_BOOTTIME`.
///
/// It never goes back, and it runs on while the process or the host is paused, so that a lease that expired during a
/// pause is seen as expired at once.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    wall: Timestamp,
    boot: Millis,
}

impl Clock {
    /// Anchors a clock to the wall clock.
    pub fn anchored() -> Self {
        let wall = jiff::Timestamp::now().as_millisecond();
        Self {
            wall: Timestamp::from_millis(wall.max(0) as u64),
            boot: since_boot(),
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> Timestamp {
        self.wall.after(since_boot().saturating_sub(self.boot))
    }
}

fn since_boot() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    Millis::new(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}
