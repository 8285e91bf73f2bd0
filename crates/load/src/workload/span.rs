use rand::Rng;
use rand::rngs::SmallRng;

/// Inclusive range of integers with a uniform distribution.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Span {
    pub(crate) from: u64,
    pub(crate) to: u64,
}

impl Span {
    pub(crate) const fn new(from: u64, to: u64) -> Self {
        Self { from, to }
    }

    pub(crate) fn draw(self, rng: &mut SmallRng) -> u64 {
        rng.random_range(self.from..=self.to)
    }

    pub(crate) fn mean(self) -> f64 {
        (self.from + self.to) as f64 / 2.0
    }
}
