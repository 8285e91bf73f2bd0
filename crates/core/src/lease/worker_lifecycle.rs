//! Life cycle of a worker. Its events come from answers and host lists at run time, so it is a state machine instead of
//! a typestate.

use std::fmt;

use statig::prelude::*;

use crate::code::{Refusal, ResultCode};
use crate::id::Epoch;
use crate::lease::{WorkerEvent, WorkerPhase};

/// Life cycle of one worker.
pub struct WorkerLifecycle {
    machine: StateMachine<WorkerMachine>,
}

impl WorkerLifecycle {
    /// Creates a life cycle in the `Unleased` phase.
    pub fn new() -> Self {
        Self {
            machine: WorkerMachine::default().state_machine(),
        }
    }

    /// Handles an event and returns the resulting phase. Refused with `EpochInvariant` if a grant has a lower epoch
    /// than an earlier grant.
    pub fn handle(&mut self, event: WorkerEvent) -> Result<WorkerPhase, Refusal> {
        if let WorkerEvent::Granted(epoch) = event {
            let known = self.machine.inner().epoch;
            if epoch < known {
                let text =
                    format!("the worker granted epoch {epoch} after the higher epoch {known}");
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

    /// Returns true if new work may be placed on the worker.
    pub fn accepts_new_work(&self) -> bool {
        self.phase() == WorkerPhase::Leased
    }

    /// Returns the highest granted epoch.
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
struct WorkerMachine {
    epoch: Epoch,
    leaving: bool,
}

#[state_machine(initial = "State::unleased()", state(derive(Debug)))]
impl WorkerMachine {
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
                // Renewals may have timed out while draining, so require an answered one before new work.
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
