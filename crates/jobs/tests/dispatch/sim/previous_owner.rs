//! An owner that was replaced and goes on, because it was paused or can't reach the store.

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_jobs::dispatch::{Dispatcher, Effect, HoldAction, Serving};
use lagoon_jobs::fleet::ExecutorSlot;
use lagoon_jobs::id::Incarnation;
use lagoon_jobs::run::StartOutcome;
use rand::Rng;

use super::{EXECUTORS, Sim};

/// Share of its steps in which a replaced owner is not paused, in percent.
const ACTIVE_PERCENT: u32 = 60;

pub(super) struct PreviousOwner {
    dispatcher: Dispatcher<Serving>,
    ends_at: Timestamp,
    /// Starts that it decided and has not sent.
    unsent: Vec<Effect>,
    /// Incarnations of the executors when its ownership was last confirmed. Later ones receive no start of it, because a start is
    /// sent only on a connection that was established before a confirmation.
    incarnations: [u64; EXECUTORS],
}

impl Sim {
    /// Keeps a replaced owner running for a time. The store no longer confirms its ownership.
    pub(super) fn keep_previous(&mut self, dispatcher: Dispatcher<Serving>) {
        let ms = self.rng.random_range(0..12_000);
        if self.epoch <= 1 {
            // The dispatcher that the simulation is created with knows no executors.
            return;
        }
        self.previous = Some(PreviousOwner {
            dispatcher,
            ends_at: self.now.after(Millis::new(ms)),
            unsent: Vec::new(),
            incarnations: std::array::from_fn(|i| self.executors[i].incarnation()),
        });
    }

    /// Lets the replaced owner act, unless it is paused. It reaches executors that its successor does not reach.
    pub(super) fn step_previous(&mut self) {
        let now = self.now;
        let Some(mut previous) = self.previous.take() else {
            return;
        };
        if now > previous.ends_at {
            return;
        }
        if self.rng.random_ratio(ACTIVE_PERCENT, 100) {
            self.act(&mut previous);
        }
        self.previous = Some(previous);
    }

    fn act(&mut self, previous: &mut PreviousOwner) {
        let now = self.now;
        for effect in std::mem::take(&mut previous.unsent) {
            if let Effect::Start(req) = effect
                && previous.dispatcher.may_send(&req, now)
            {
                let i = req.slot.index();
                let live = self.executors[i].incarnation();
                let is_reached = live == previous.incarnations[i]
                    && req.incarnation == Some(Incarnation::new(live));
                let outcome = match is_reached {
                    true => self.start_now(&req),
                    false => StartOutcome::Withheld,
                };
                previous.dispatcher.started(&req, outcome, now);
            }
        }
        for i in 0..EXECUTORS {
            let slot = ExecutorSlot::new(i as u32);
            let HoldAction::Hold(req) = previous.dispatcher.next_hold(slot, true, now) else {
                continue;
            };
            let done = self.executors[i].done_up_to(req.acknowledged);
            match self.executors[i].hold(&req, now) {
                Some(listing) => {
                    self.note_acknowledged(done);
                    let sent_at = Timestamp::from_millis(now.as_millis() - 1);
                    previous.dispatcher.listed(slot, &listing, sent_at, now);
                }
                None => previous.dispatcher.fenced(),
            }
        }
        previous.dispatcher.tick(now);
        previous.dispatcher.plan(now);
        previous.unsent = previous.dispatcher.take_effects();
    }
}
