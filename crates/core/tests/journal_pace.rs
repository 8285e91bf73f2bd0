//! Pace of the commits of one process.

use lagoon_core::journal::CommitPacer;
use lagoon_core::unit::{Millis, Rate, Timestamp};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

macro_rules! paces {
    ($($(#[$doc:meta])* $name:ident: $shards:literal, $calls:expr => $interval:literal;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut pace = CommitPacer::new(Rate::per_second(100), Millis::new(50));
                pace.set_shards($shards);
                let calls: fn(&mut CommitPacer) = $calls;
                calls(&mut pace);
                assert_eq!(pace.interval(), Millis::new($interval));
                assert_eq!(pace.next_at(at(7)), at(7 + $interval));
            }
        )*
    };
}

paces! {
    /// Guards against a process that exceeds its budget of writes.
    budget_is_shared: 8, |_| {} => 80;
    /// Guards against a division by zero in a process without shards.
    no_shards: 0, |_| {} => 10;
    /// Guards against writes that go on at full pace although the store refuses them.
    refusals_slow_down: 8, |pace| { pace.on_refused(); pace.on_refused(); } => 320;
    /// Guards against a slow store that is loaded further.
    slow_writes_slow_down: 8, |pace| pace.on_written(Millis::new(50)) => 160;
    /// Guards against a wait that grows without bound during an outage.
    slowdown_is_bounded: 8, |pace| (0..99).for_each(|_| pace.on_refused()) => 5_120;
    /// Guards against a pace that stays slow after the store recovered.
    pace_recovers: 8, |pace| { pace.on_refused(); (0..99).for_each(|_| pace.on_written(Millis::new(2))); } => 80;
}
