use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::event::Event;
use crate::proxy::Mode;

/// Time in which faults begin. Longer than the leases of runs, so that takeovers, lapses and returns follow each other.
pub(crate) const FAULT_TIME: Duration = Duration::from_secs(9);
/// Faults of one run; about one a second, so that some overlap.
const FAULTS: usize = 9;

/// Returns the events of a seed in their order, each with its time. All faults end with the last one.
pub(crate) fn plan(seed: u64, nodes: usize) -> Vec<(Duration, Event)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut events = Vec::new();
    for _ in 0..FAULTS {
        let at = rng.random_range(0..FAULT_TIME.as_millis() as u64);
        let lasts = rng.random_range(300..3_500);
        let until = (at + lasts).min(FAULT_TIME.as_millis() as u64);
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
    let heal = Some(Event::Link(node, Mode::Pass));
    match rng.random_range(0..13) {
        0 => (Event::Link(node, Mode::Delay), heal),
        1 => (Event::Link(node, Mode::Reset), heal),
        2 => (Event::Link(node, Mode::Silent), heal),
        3 => (Event::Link(node, Mode::NoAnswers), heal),
        4 => (Event::Pause(node), Some(Event::Resume(node))),
        5 | 6 => (Event::Kill(node), None),
        7 => (Event::KillAll, None),
        8 => (Event::Terminate(node), None),
        9 => (Event::Hangup(node), None),
        10 => (Event::StoreBusy, Some(Event::StoreWell)),
        11 => (Event::StoreLosesAnswers, Some(Event::StoreWell)),
        _ if rng.random_bool(0.5) => (Event::ForgetHistory, None),
        _ => (Event::Configure, None),
    }
}
