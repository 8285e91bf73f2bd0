//! The simulated registry of executors, and takeovers between owners.

use lagoon_core::unit::Millis;
use lagoon_jobs::dispatch::{Dispatcher, HoldAction};
use lagoon_jobs::fleet::ExecutorSlot;
use lagoon_jobs::id::Epoch;

use rand::Rng;

use super::delayed_event::DelayedEvent;
use super::{EXECUTORS, Sim};
use crate::harness::policy;
use crate::sim_kind::SimKind;

impl Sim {
    /// Removes an executor from the registry.
    pub(super) fn unlist(&mut self, i: usize) {
        let id = self.executors[i].entry().id;
        if self.executor_records.contains_key(&id) && self.unlisted.insert(i) {
            self.dispatcher.unlist(&id);
        }
    }

    /// Restores all removed registry entries.
    pub(super) fn list_all(&mut self) {
        for i in std::mem::take(&mut self.unlisted) {
            self.write_entry(i);
        }
    }

    /// Restarts an executor, at times as another kind, which writes its new entry later.
    pub(super) fn restart(&mut self, i: usize) {
        let kind = self.executors[i].kind();
        let kind = match self.rng.random_ratio(1, 3) {
            true => kind.other(),
            false => kind,
        };
        let is_put_back = self.rng.random_ratio(1, 5);
        self.executors[i].restart(kind, is_put_back, self.now);
        let lag = Millis::new(self.rng.random_range(0..4_000));
        self.delayed
            .push((self.now.after(lag), DelayedEvent::Entry(i)));
    }

    /// Restarts the executors of the other kind, so that every step has executors with the label that it requires.
    pub(super) fn restore_kinds(&mut self) {
        for i in 0..EXECUTORS {
            if self.executors[i].kind() != SimKind::A {
                self.executors[i].restart(SimKind::A, false, self.now);
                self.delayed.push((self.now, DelayedEvent::Entry(i)));
            }
        }
    }

    /// Writes the entry of an executor, unless it has none.
    pub(super) fn write_entry(&mut self, i: usize) {
        self.registered[i] = self.executors[i].entry();
        if !self.unlisted.contains(&i) {
            self.dispatcher
                .observe(self.registered[i].clone(), self.now);
        }
    }

    /// Restarts an executor while no request reaches it, so that its restart is noticed late.
    pub(super) fn restart_behind_a_cut(&mut self) {
        let i = self.rng.random_range(0..EXECUTORS);
        let ms = self.rng.random_range(100..4_000);
        self.executors[i].unresponsive_until = self.now.after(Millis::new(ms));
        self.restart(i);
    }

    /// Replaces the owner by one that knows only the store and the lists of the executors.
    pub(super) fn take_over(&mut self) {
        self.epoch += 1;
        let now = self.now;
        let mut next = Dispatcher::open(Epoch::new(self.epoch), self.limits, now);
        next.set_policy(policy());
        next.set_members(&["m1", "m2", "m3"].map(|id| id.parse().unwrap()));
        self.connections.clear();
        let mut listings = Vec::new();
        for i in 0..EXECUTORS {
            // In the order of the slots, by which the simulation addresses executors.
            let entry = self.registered[i].clone();
            let slot = ExecutorSlot::new(i as u32);
            match (
                self.unlisted.contains(&i),
                self.executor_records.get(&entry.id),
            ) {
                (true, Some(record)) => next.load_executor(record.clone(), now),
                (true, None) => panic!("seed {}: {} is not recorded", self.seed, entry.id),
                (false, record) => {
                    let record = record.cloned();
                    next.observe(entry, now);
                    record
                        .into_iter()
                        .for_each(|record| next.load_executor(record, now));
                }
            }
            if self.executors[i].is_unresponsive(now) || self.executors[i].is_mute(now) {
                continue;
            }
            if let HoldAction::Hold(req) = next.next_hold(slot, false, now) {
                listings.extend(
                    self.executors[i]
                        .hold(&req, now)
                        .map(|listing| (slot, listing)),
                );
            }
        }
        for (id, record) in &self.records {
            let progress = self.progress.get(id).cloned().unwrap_or_default();
            match progress.outcome {
                Some(state) => next.load_ended(*id, state, now),
                None => next.load(*id, record.clone(), &progress, now),
            }
        }
        for id in &self.cancelled {
            next.cancel(*id, now);
        }
        for (slot, listing) in listings {
            next.listed(slot, &listing, now, now);
            self.keep_connection(slot.index());
        }
        let last = std::mem::replace(&mut self.dispatcher, next.serve(now));
        self.keep_previous(last);
    }
}
