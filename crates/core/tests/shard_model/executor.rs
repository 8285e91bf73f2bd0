use lagoon_core::unit::Timestamp;

use super::invariants::Invariants;

/// A simulated executor with a fixed number of slots. It does not check epochs.
#[derive(Debug, Default)]
pub(crate) struct Executor {
    running: Vec<Timestamp>,
}

pub(crate) const SLOTS: u32 = 2;

impl Executor {
    /// Runs a request. Returns false, without running it, if no slot is free.
    pub(crate) fn run(
        &mut self,
        payload: &str,
        ends_at: Timestamp,
        invariants: &mut Invariants,
    ) -> bool {
        if self.running.len() >= SLOTS as usize {
            return false;
        }
        invariants.on_request(payload);
        self.running.push(ends_at);
        true
    }

    pub(crate) fn advance_to(&mut self, now: Timestamp) {
        self.running.retain(|ends_at| *ends_at > now);
    }

    pub(crate) fn in_use(&self) -> u32 {
        self.running.len() as u32
    }
}
