//! Connections of the owner to executors, which a request may use again.

use lagoon_core::unit::{Millis, Timestamp};
use rand::Rng;

use super::Sim;

/// A connection to one incarnation of an executor, established before that incarnation listed its runs.
#[derive(Debug, Clone, Copy)]
pub(super) struct SimConnection {
    pub(super) incarnation: u64,
    pub(super) established_at: Timestamp,
}

impl Sim {
    /// Keeps the connection on which an executor has listed its runs. It was established before the request.
    pub(super) fn keep_connection(&mut self, executor: usize) {
        let connection = SimConnection {
            incarnation: self.executors[executor].incarnation(),
            established_at: Timestamp::from_millis(self.now.as_millis() - 2),
        };
        self.connections.insert(executor, connection);
    }

    /// Draws whether the next request uses the kept connection; a new one is established otherwise.
    pub(super) fn draw_connection(&mut self, executor: usize) -> Option<SimConnection> {
        let kept = self.connections.get(&executor).copied()?;
        let is_used = self.has_long_running && self.rng.random_bool(0.7);
        is_used.then_some(kept)
    }

    /// Returns the age of a connection that is given up now.
    pub(super) fn age(&self, connection: Option<SimConnection>) -> Option<Millis> {
        connection.map(|kept| self.now.since(kept.established_at))
    }
}
