//! Life cycle of a worker. It is driven by answers and lists from outside, hence a state machine and no typestate.

use std::fmt;

use statig::prelude::*;

use crate::code::{Refusal, ResultCode};
use crate::id::Epoch;
use crate::lease::{WorkerEvent, WorkerPhase};

/// Life cycle of one worker.
pub struct WorkerLifecycle {
    machine: StateMachine<Life>,
}

impl WorkerLifecycle {
    /// Starts without a lease.
    pub fn new() -> Self {
        Self {
            machine: Life::default().state_machine(),
        }
    }

    /// Takes an event; refused with `EpochInvariant` if a grant carries a lower epoch than an earlier one.
    pub fn handle(&mut self, event: WorkerEvent) -> Result<WorkerPhase, Refusal> {
        if let WorkerEvent::Granted(epoch) = event {
            let known = self.machine.inner().epoch;
            if epoch < known {
                let text = format!("the lease went back from epoch {known} to {epoch}");
                return Err(Refusal::new(ResultCode::EpochInvariant, text));
            }
        }
        self.machine.handle(&event);
        Ok(self.phase())
    }

    /// Returns the current phase.
    pub fn phase(&self) -> WorkerPhase {
        match self.machine.state() {
            State::Unleased {} => WorkerPhase::Unleased,
            State::Leased {} => WorkerPhase::Leased,
            State::Suspect {} => WorkerPhase::Suspect,
            State::Draining {} => WorkerPhase::Draining,
            State::Gone {} => WorkerPhase::Gone,
        }
    }

    /// Tells whether new work may be placed here.
    pub fn accepts_new_work(&self) -> bool {
        self.phase() == WorkerPhase::Leased
    }

    /// Returns the highest epoch that was granted.
    pub fn epoch(&self) -> Epoch {
        self.machine.inner().epoch
    }
}

impl fmt::Debug for WorkerLifecycle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WorkerLifecycle")
            .field("phase", &self.phase())
            .field("epoch", &self.epoch())
            .finish()
    }
}

impl Default for WorkerLifecycle {
    fn default() -> Self {
        Self::new()
    }
}

#[derive(Debug, Default)]
struct Life {
    epoch: Epoch,
    leaving: bool,
}

#[state_machine(initial = "State::unleased()", state(derive(Debug)))]
impl Life {
    #[state(superstate = "present")]
    fn unleased(&mut self, event: &WorkerEvent) -> Outcome<State> {
        match event {
            WorkerEvent::HostLeaving => {
                self.leaving = true;
                Handled
            }
            WorkerEvent::HostReturned => {
                self.leaving = false;
                Handled
            }
            _ => Super,
        }
    }

    #[state(superstate = "held")]
    fn leased(event: &WorkerEvent) -> Outcome<State> {
        match event {
            WorkerEvent::RenewalTimedOut => Transition(State::suspect()),
            _ => Super,
        }
    }

    #[state(superstate = "held")]
    fn suspect(event: &WorkerEvent) -> Outcome<State> {
        let _ = event;
        Super
    }

    #[state(superstate = "held")]
    fn draining(&mut self, event: &WorkerEvent) -> Outcome<State> {
        match event {
            WorkerEvent::HostReturned => {
                self.leaving = false;
                // Suspect until a renewal shows that the worker answers.
                Transition(State::suspect())
            }
            _ => Super,
        }
    }

    #[state]
    fn gone(event: &WorkerEvent) -> Outcome<State> {
        let _ = event;
        Handled
    }

    #[superstate(superstate = "present")]
    fn held(&mut self, event: &WorkerEvent) -> Outcome<State> {
        match event {
            WorkerEvent::LeaseEnded => Transition(State::unleased()),
            WorkerEvent::HostLeaving => {
                self.leaving = true;
                Transition(State::draining())
            }
            _ => Super,
        }
    }

    #[superstate]
    fn present(&mut self, event: &WorkerEvent) -> Outcome<State> {
        match event {
            WorkerEvent::Granted(epoch) => {
                self.epoch = *epoch;
                match self.leaving {
                    true => Transition(State::draining()),
                    false => Transition(State::leased()),
                }
            }
            WorkerEvent::HostGone => Transition(State::gone()),
            _ => Handled,
        }
    }
}
