//! Memory and time per ticket.

use std::time::Instant;

use lagoon_core::shard::Shard;

use crate::report::ScenarioReport;
use crate::sim::new_shard;
use crate::slope::Line;
use crate::slope::memory::resident_bytes;
use crate::slope::worker_slope::NOW;
use crate::workload::{Deployment, policy};

/// Number of outstanding tickets at each point, multiplied by the scale.
const POINTS: [usize; 4] = [250, 500, 1_000, 2_000];

pub(super) fn measure(scale: usize, report: &mut ScenarioReport) -> Shard {
    let mut shard = new_shard(policy(&Deployment::settlements()), &[], NOW);
    let (mut memory, mut time) = (Line::default(), Line::default());
    let (mut issued, mut total_ns) = (0, 0.0);
    for point in POINTS {
        let count = point * scale;
        let started_at = Instant::now();
        while issued < count {
            let batch = 100.min(count - issued);
            let tickets = shard.issue_tickets(batch, NOW).map_or(0, |new| new.len());
            if tickets == 0 {
                return shard;
            }
            issued += tickets;
        }
        total_ns += started_at.elapsed().as_nanos() as f64;
        memory.add(count as f64, resident_bytes() as f64);
        time.add(count as f64, total_ns);
    }
    memory.report_slope("memory per ticket (B)", report);
    time.report_slope("time per ticket (ns)", report);
    shard
}
