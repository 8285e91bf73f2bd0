use lagoon_core::unit::Timestamp;

use super::rules::Rules;

/// An executor with slots. It knows no epochs.
#[derive(Debug, Default)]
pub(crate) struct Executor {
    running: Vec<Timestamp>,
}

pub(crate) const SLOTS: u32 = 2;

impl Executor {
    /// Runs a request; returns false if no slot is free, in which case it does not run.
    pub(crate) fn run(&mut self, payload: &str, ends: Timestamp, rules: &mut Rules) -> bool {
        if self.running.len() >= SLOTS as usize {
            return false;
        }
        rules.request(payload);
        self.running.push(ends);
        true
    }

    pub(crate) fn settle(&mut self, now: Timestamp) {
        self.running.retain(|ends| *ends > now);
    }

    pub(crate) fn in_use(&self) -> u32 {
        self.running.len() as u32
    }
}
