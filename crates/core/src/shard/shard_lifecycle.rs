//! Life cycle of the ownership of a shard. It is driven by external events, such as elections and responses of the
//! store and of workers, hence a state machine instead of typestate.

use std::fmt;

use statig::prelude::*;

use crate::shard::{ShardEvent, ShardPhase};

/// State machine for the phases of one shard in one process.
pub struct ShardLifecycle {
    machine: StateMachine<Lifecycle>,
}

impl ShardLifecycle {
    /// Creates a life cycle in phase `Standby`.
    pub fn new() -> Self {
        Self {
            machine: Lifecycle.state_machine(),
        }
    }

    /// Applies an event and returns the new phase.
    pub fn handle(&mut self, event: ShardEvent) -> ShardPhase {
        self.machine.handle(&event);
        self.phase()
    }

    /// Returns the current phase.
    pub fn phase(&self) -> ShardPhase {
        match self.machine.state() {
            State::Standby {} => ShardPhase::Standby,
            State::Claiming {} => ShardPhase::Claiming,
            State::Fencing {} => ShardPhase::Fencing,
            State::Serving {} => ShardPhase::Serving,
            State::HandingOver {} => ShardPhase::HandingOver,
            State::Stopped {} => ShardPhase::Stopped,
        }
    }
}

impl fmt::Debug for ShardLifecycle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("ShardLifecycle")
            .field(&self.phase())
            .finish()
    }
}

impl Default for ShardLifecycle {
    fn default() -> Self {
        Self::new()
    }
}

#[derive(Debug)]
struct Lifecycle;

#[state_machine(initial = "State::standby()", state(derive(Debug)))]
impl Lifecycle {
    #[state]
    fn standby(event: &ShardEvent) -> Outcome<State> {
        match event {
            ShardEvent::Elected => Transition(State::claiming()),
            _ => Handled,
        }
    }

    #[state]
    fn claiming(event: &ShardEvent) -> Outcome<State> {
        match event {
            ShardEvent::Claimed => Transition(State::fencing()),
            ShardEvent::ClaimLost | ShardEvent::Superseded => Transition(State::standby()),
            _ => Handled,
        }
    }

    #[state(superstate = "owned")]
    fn fencing(event: &ShardEvent) -> Outcome<State> {
        match event {
            ShardEvent::Fenced => Transition(State::serving()),
            ShardEvent::HandOverStarted => Transition(State::handing_over()),
            _ => Super,
        }
    }

    #[state(superstate = "owned")]
    fn serving(event: &ShardEvent) -> Outcome<State> {
        match event {
            ShardEvent::HandOverStarted => Transition(State::handing_over()),
            _ => Super,
        }
    }

    #[state(superstate = "owned")]
    fn handing_over(event: &ShardEvent) -> Outcome<State> {
        match event {
            // Fencing may have been incomplete before the handover; if it was complete, the shard serves at once.
            ShardEvent::HandOverFailed => Transition(State::fencing()),
            _ => Super,
        }
    }

    #[state]
    fn stopped(event: &ShardEvent) -> Outcome<State> {
        match event {
            ShardEvent::Superseded => Transition(State::standby()),
            _ => Handled,
        }
    }

    #[superstate]
    fn owned(event: &ShardEvent) -> Outcome<State> {
        match event {
            ShardEvent::Superseded => Transition(State::standby()),
            ShardEvent::Broken => Transition(State::stopped()),
            _ => Handled,
        }
    }
}
