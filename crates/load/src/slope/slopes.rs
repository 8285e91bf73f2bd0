use crate::report::ScenarioReport;
use crate::scenario::{Options, Size};
use crate::slope::{encoded, journal_slope, queue_slope, start_slope, ticket_slope, worker_slope};

/// Measures all slopes. Memory use is that of the whole process, so this scenario should run alone.
pub(crate) fn run(options: &Options) -> Vec<ScenarioReport> {
    let scale = match options.size {
        Size::Full => 100,
        Size::Small => 1,
    };
    let mut report = ScenarioReport::new("slopes", "one shard", "shard", options.seed);
    // All measured shards are kept until the end: freed memory would be reused without a change of the resident size.
    let kept = (
        // Measured first, because its small allocations would fit into memory that the others free.
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
