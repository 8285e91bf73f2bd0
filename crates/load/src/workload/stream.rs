use lagoon_core::unit::{Bytes, Millicores, Millis, Priority, Rate, Resources, Timestamp};
use lagoon_core::work::{PlacementPolicy, Repeatability, WorkKind, WorkSpec};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::sim::JobNumber;
use crate::util::name;
use crate::workload::Span;

/// Work of one kind that arrives at random times, at a constant mean rate.
#[derive(Debug, Clone)]
pub(crate) struct Stream {
    pub(crate) kind: WorkKind,
    /// Prefix of the names of its teams.
    pub(crate) teams: &'static str,
    pub(crate) team_count: u64,
    pub(crate) priority: Priority,
    pub(crate) rate: Rate,
    pub(crate) cores: Span,
    pub(crate) gib_per_core: u64,
    pub(crate) members: Span,
    /// Run time in milliseconds.
    pub(crate) run: Span,
    pub(crate) service: Option<&'static str>,
    /// Time between arrival and start deadline.
    pub(crate) patience: Option<Millis>,
    pub(crate) from: Timestamp,
    pub(crate) until: Timestamp,
    /// Number of pieces of work after which it ends.
    pub(crate) at_most: u64,
    pub(crate) flood: bool,
    /// Factor of ten thousandths by which sizes and run times may differ from the declared ones, up or down.
    pub(crate) wrong_by: u64,
}

impl Stream {
    /// Returns the time of the next arrival; none after the end.
    pub(crate) fn next_arrival(&self, after: Timestamp, rng: &mut SmallRng) -> Option<Timestamp> {
        let unit: f64 = rng.random_range(f64::EPSILON..1.0);
        let wait = -unit.ln() * 1_000.0 / self.rate.as_per_second();
        // Arrivals lie on whole milliseconds, so that several can share one.
        let carried = rng.random_range(0.0..1.0);
        let wait = (wait + carried).floor() as u64;
        let at = after.max(self.from).after(Millis::new(wait));
        (at < self.until).then_some(at)
    }

    /// Draws a piece of work.
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
            team: name(&format!("{}{team}", self.teams)),
            priority: self.priority,
            deadline: self.patience.map(|patience| now.after(patience)),
            resources,
            task_count: self.members.draw(rng) as u32,
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

    /// Draws a factor in hundredths for an actual size or run time.
    pub(crate) fn draw_error(&self, rng: &mut SmallRng) -> u64 {
        let most = self.wrong_by as f64 / 10_000.0;
        if most <= 1.0 {
            return 100;
        }
        let exponent = rng.random_range(-1.0..1.0);
        (100.0 * most.powf(exponent)).round().max(1.0) as u64
    }

    /// Returns the mean cores in use of work that arrives at `rate` and starts at once.
    pub(crate) fn load_at(&self, rate: Rate) -> f64 {
        let each = self.cores.mean() * self.members.mean() * self.run.mean() / 1_000.0;
        rate.as_per_second() * each
    }

    /// Returns the rate at which the stream uses `cores`, or slots for a service.
    pub(crate) fn rate_for(&self, cores: f64) -> Rate {
        let one = self.load_at(Rate::per_second(1));
        Rate::new((cores / one * 1_000.0).round().max(1.0) as u64)
    }
}
