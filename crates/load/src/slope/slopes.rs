use crate::report::ScenarioReport;
use crate::scenario::{Options, Size};
use crate::slope::{encoded, journal_slope, queue_slope, start_slope, ticket_slope, worker_slope};

/// Measures all slopes. Memory is that of the process, so run this scenario alone.
pub(crate) fn run(options: &Options) -> Vec<ScenarioReport> {
    let scale = match options.size {
        Size::Full => 100,
        Size::Small => 1,
    };
    let mut report = ScenarioReport::new("slopes", "one shard", "shard", options.seed);
    // Everything measured is kept until the end, because freed memory would be used again unseen.
    let kept = (
        // First, because its small allocations would fit into what the others free.
        ticket_slope::measure(scale, &mut report),
        worker_slope::measure(scale, &mut report),
        queue_slope::measure(scale, &mut report),
        journal_slope::measure(scale, &mut report),
        start_slope::measure(scale, &mut report),
    );
    encoded::measure(&mut report);
    drop(kept);
    vec![report]
}
