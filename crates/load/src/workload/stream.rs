use lagoon_core::unit::{Bytes, Millicores, Millis, Priority, Rate, Resources, Timestamp};
use lagoon_core::work::{PlacementPolicy, Repeatability, WorkKind, WorkSpec};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::sim::JobNumber;
use crate::util::name;
use crate::workload::Span;

/// Stream of jobs of one kind with random arrivals at a constant mean rate.
#[derive(Debug, Clone)]
pub(crate) struct Stream {
    pub(crate) kind: WorkKind,
    /// Prefix of the team names.
    pub(crate) team_prefix: &'static str,
    pub(crate) team_count: u64,
    pub(crate) priority: Priority,
    pub(crate) rate: Rate,
    pub(crate) cores: Span,
    pub(crate) gib_per_core: u64,
    pub(crate) task_counts: Span,
    /// Run time in milliseconds.
    pub(crate) run: Span,
    pub(crate) service: Option<&'static str>,
    /// Time between arrival and start deadline.
    pub(crate) start_timeout: Option<Millis>,
    pub(crate) from: Timestamp,
    pub(crate) until: Timestamp,
    /// Number of jobs after which the stream ends.
    pub(crate) max_arrivals: u64,
    pub(crate) flood: bool,
    /// Maximum factor, in ten-thousandths, by which actual sizes and run times exceed or fall below the declared ones.
    pub(crate) error_factor: u64,
}

impl Stream {
    /// Returns the time of the next arrival, or `None` after the end of the stream.
    pub(crate) fn next_arrival(&self, after: Timestamp, rng: &mut SmallRng) -> Option<Timestamp> {
        let unit: f64 = rng.random_range(f64::EPSILON..1.0);
        let wait = -unit.ln() * 1_000.0 / self.rate.as_per_second();
        // Arrivals are rounded randomly to whole milliseconds, which keeps the mean; several can fall on the same one.
        let rounding = rng.random_range(0.0..1.0);
        let wait = (wait + rounding).floor() as u64;
        let at = after.max(self.from).after(Millis::new(wait));
        (at < self.until).then_some(at)
    }

    /// Draws a random job.
    pub(crate) fn draw(&self, number: JobNumber, now: Timestamp, rng: &mut SmallRng) -> WorkSpec {
        let cores = self.cores.draw(rng);
        let team = rng.random_range(0..self.team_count);
        let resources = match self.service {
            Some(_) => Resources::ZERO,
            None => Resources::new(
                Millicores::new(cores * 1_000),
                Bytes::new((cores * self.gib_per_core) << 30),
            ),
        };
        WorkSpec {
            kind: self.kind,
            team: name(&format!("{}{team}", self.team_prefix)),
            priority: self.priority,
            deadline: self
                .start_timeout
                .map(|start_timeout| now.after(start_timeout)),
            resources,
            task_count: self.task_counts.draw(rng) as u32,
            run_time: Millis::new(self.run.draw(rng)),
            repeatability: match self.service {
                Some(_) => Repeatability::AtMostOnce,
                None => Repeatability::Restartable,
            },
            placement: PlacementPolicy::default(),
            service: self.service.map(name),
            payload: number.to_string(),
        }
    }

    /// Draws the ratio of actual to declared size or run time, in percent.
    pub(crate) fn draw_error(&self, rng: &mut SmallRng) -> u64 {
        let max_factor = self.error_factor as f64 / 10_000.0;
        if max_factor <= 1.0 {
            return 100;
        }
        let exponent = rng.random_range(-1.0..1.0);
        (100.0 * max_factor.powf(exponent)).round().max(1.0) as u64
    }

    /// Returns the mean number of cores in use by jobs that arrive at `rate` and start immediately.
    pub(crate) fn load_at(&self, rate: Rate) -> f64 {
        let cores_per_rate =
            self.cores.mean() * self.task_counts.mean() * self.run.mean() / 1_000.0;
        rate.as_per_second() * cores_per_rate
    }

    /// Returns the arrival rate at which the stream uses `cores` on average, or slots for a service.
    pub(crate) fn rate_for(&self, cores: f64) -> Rate {
        let one = self.load_at(Rate::per_second(1));
        Rate::new((cores / one * 1_000.0).round().max(1.0) as u64)
    }
}
