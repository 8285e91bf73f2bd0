use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::event::Event;
use crate::proxy::LinkMode;

/// Time span of the faults. Longer than the leases of runs, so that takeovers, lease expiry and recovery all occur.
pub(crate) const FAULT_TIME: Duration = Duration::from_secs(9);
/// Faults of one seed; about one per second, so that some overlap.
const FAULTS: usize = 9;

/// Returns the events of a seed in order of time. All faults end within `FAULT_TIME`.
pub(crate) fn plan(seed: u64, nodes: usize) -> Vec<(Duration, Event)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut events = Vec::new();
    for _ in 0..FAULTS {
        let at = rng.random_range(0..FAULT_TIME.as_millis() as u64);
        let duration = rng.random_range(300..3_500);
        let until = (at + duration).min(FAULT_TIME.as_millis() as u64);
        let node = rng.random_range(0..nodes);
        let (begin, end) = fault(&mut rng, node);
        events.push((at, begin));
        events.extend(end.map(|event| (until, event)));
    }
    events.sort_by_key(|(at, _)| *at);
    let timed = |(at, event)| (Duration::from_millis(at), event);
    events.into_iter().map(timed).collect()
}

fn fault(rng: &mut SmallRng, node: usize) -> (Event, Option<Event>) {
    let recover = Some(Event::Link(node, LinkMode::Pass));
    match rng.random_range(0..13) {
        0 => (Event::Link(node, LinkMode::Delay), recover),
        1 => (Event::Link(node, LinkMode::Reset), recover),
        2 => (Event::Link(node, LinkMode::Blackhole), recover),
        3 => (Event::Link(node, LinkMode::DropResponses), recover),
        4 => (Event::Pause(node), Some(Event::Resume(node))),
        5 | 6 => (Event::Kill(node), None),
        7 => (Event::KillAll, None),
        8 => (Event::Terminate(node), None),
        9 => (Event::Reload(node), None),
        10 => (Event::StoreBusy, Some(Event::StoreRecovered)),
        11 => (Event::StoreDropsResponses, Some(Event::StoreRecovered)),
        _ if rng.random_bool(0.5) => (Event::CompactHistory, None),
        _ => (Event::Configure, None),
    }
}
