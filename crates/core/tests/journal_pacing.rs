//! Rate limit of the commits of one process.

use lagoon_core::journal::CommitPacer;
use lagoon_core::unit::{Millis, Rate, Timestamp};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

macro_rules! intervals {
    ($($(#[$doc:meta])* $name:ident: $shards:literal, $calls:expr => $interval:literal;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut pacer = CommitPacer::new(Rate::per_second(100), Millis::new(50));
                pacer.set_shards($shards);
                let calls: fn(&mut CommitPacer) = $calls;
                calls(&mut pacer);
                assert_eq!(pacer.interval(), Millis::new($interval));
                assert_eq!(pacer.next_at(at(7)), at(7 + $interval));
            }
        )*
    };
}

intervals! {
    /// Guards against a process that exceeds its write budget.
    budget_is_shared: 8, |_| {} => 80;
    /// Guards against a division by zero in a process without shards.
    no_shards: 0, |_| {} => 10;
    /// Guards against writes that continue at the full rate although the store refuses them.
    refusals_slow_down: 8, |pacer| { pacer.on_refused(); pacer.on_refused(); } => 320;
    /// Guards against writes that continue at the full rate although the store is slow.
    slow_writes_slow_down: 8, |pacer| pacer.on_written(Millis::new(50)) => 160;
    /// Guards against an interval that grows without bound during an outage.
    slowdown_is_bounded: 8, |pacer| (0..99).for_each(|_| pacer.on_refused()) => 5_120;
    /// Guards against an interval that stays long after the store recovered.
    interval_recovers: 8, |pacer| { pacer.on_refused(); (0..99).for_each(|_| pacer.on_written(Millis::new(2))); } => 80;
}
