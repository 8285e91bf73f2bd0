use std::collections::{BTreeMap, VecDeque};

use crate::id::{Epoch, Sequence};
use crate::ticket::{EpochSnapshot, TicketState};
use crate::unit::{Millis, Timestamp};

/// Tickets issued at one epoch.
#[derive(Debug)]
pub(super) struct EpochTable {
    epoch: Epoch,
    first: u64,
    ring: VecDeque<TicketState>,
    // Long-lived tickets that were at the front of the ring, moved here so that the tickets behind them can be freed.
    older: BTreeMap<u64, TicketState>,
    issued: VecDeque<(Timestamp, u64)>,
    // No ticket below this sequence number is unused, so each is checked for expiry only once.
    expiry_checked_to: u64,
    live: usize,
}

impl EpochTable {
    pub(super) fn new(epoch: Epoch) -> Self {
        Self {
            epoch,
            first: 0,
            ring: VecDeque::new(),
            older: BTreeMap::new(),
            issued: VecDeque::new(),
            expiry_checked_to: 0,
            live: 0,
        }
    }

    pub(super) fn from_snapshot(snapshot: EpochSnapshot) -> Self {
        let to_raw = |(sequence, slot): (Sequence, TicketState)| (sequence.get(), slot);
        let older: BTreeMap<_, _> = snapshot.older.into_iter().map(to_raw).collect();
        let is_live = |slot: &&TicketState| **slot != TicketState::Gone;
        let live =
            snapshot.slots.iter().filter(is_live).count() + older.values().filter(is_live).count();
        let batches = snapshot.issued.into_iter();
        Self {
            epoch: snapshot.epoch,
            first: snapshot.first.get(),
            ring: snapshot.slots,
            older,
            issued: batches.map(|(at, end)| (at, end.get())).collect(),
            expiry_checked_to: 0,
            live,
        }
    }

    pub(super) fn to_snapshot(&self) -> EpochSnapshot {
        let older = self.older.iter();
        let issued = self.issued.iter();
        EpochSnapshot {
            epoch: self.epoch,
            first: Sequence::new(self.first),
            slots: self.ring.clone(),
            older: older
                .map(|(n, slot)| (Sequence::new(*n), slot.clone()))
                .collect(),
            issued: issued.map(|(at, end)| (*at, Sequence::new(*end))).collect(),
        }
    }

    pub(super) fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the number of tickets that are not `Gone`.
    pub(super) fn live(&self) -> usize {
        self.live
    }

    fn end(&self) -> u64 {
        self.first + self.ring.len() as u64
    }

    pub(super) fn issue(&mut self, count: usize, now: Timestamp) -> std::ops::Range<u64> {
        let start = self.end();
        let end = start + count as u64;
        self.ring
            .extend(std::iter::repeat_n(TicketState::Unused, count));
        self.live += count;
        match self.issued.back_mut() {
            Some((at, last)) if *at == now => *last = end,
            _ => self.issued.push_back((now, end)),
        }
        start..end
    }

    /// Returns the state of a ticket: `Gone` for one that was removed from the ring, `None` for one that was never
    /// issued.
    pub(super) fn get(&self, sequence: Sequence) -> Option<&TicketState> {
        let n = sequence.get();
        if n >= self.end() {
            return None;
        }
        if n < self.first {
            return Some(self.older.get(&n).unwrap_or(&TicketState::Gone));
        }
        self.ring.get((n - self.first) as usize)
    }

    /// Replaces the state of a ticket and returns the previous one. Returns `None` if the ticket was never issued or is
    /// `Gone`.
    pub(super) fn replace(&mut self, sequence: Sequence, slot: TicketState) -> Option<TicketState> {
        let n = sequence.get();
        let current = match n.checked_sub(self.first) {
            Some(index) => self.ring.get_mut(index as usize)?,
            None => self.older.get_mut(&n)?,
        };
        if *current == TicketState::Gone {
            return None;
        }
        let gone = slot == TicketState::Gone;
        let previous = std::mem::replace(current, slot);
        if gone {
            self.live -= 1;
            self.older.remove(&n);
        }
        Some(previous)
    }

    /// Makes a ticket in flight unused again. Returns false if it is not in flight or was already checked for expiry.
    pub(super) fn withdraw(&mut self, sequence: Sequence) -> bool {
        let in_flight = matches!(self.get(sequence), Some(TicketState::InFlight { .. }));
        in_flight
            && sequence.get() >= self.expiry_checked_to
            && self.replace(sequence, TicketState::Unused).is_some()
    }

    /// Expires unused tickets that were issued `lifetime` or longer ago.
    pub(super) fn expire_unused(&mut self, lifetime: Millis, now: Timestamp) {
        while let Some((at, end)) = self.issued.front().copied() {
            if at.after(lifetime) > now {
                break;
            }
            self.issued.pop_front();
            let unused = |state: &TicketState| *state == TicketState::Unused;
            let start = std::mem::replace(&mut self.expiry_checked_to, end);
            let older = self.older.range(start..end);
            let older = older.filter_map(|(n, slot)| unused(slot).then_some(*n));
            for n in older.collect::<Vec<_>>() {
                self.older.remove(&n);
                self.live -= 1;
            }
            let skipped = start.saturating_sub(self.first) as usize;
            let count = end.saturating_sub(self.first) as usize;
            let ring = self.ring.iter_mut().take(count).skip(skipped);
            for slot in ring.filter(|slot| unused(slot)) {
                *slot = TicketState::Gone;
                self.live -= 1;
            }
            self.compact();
        }
    }

    /// Removes `Gone` tickets from the front of the ring and keeps its length at no more than twice the number of live
    /// tickets.
    pub(super) fn compact(&mut self) {
        while let Some(front) = self.ring.front() {
            if *front != TicketState::Gone && self.ring.len() <= 2 * self.live {
                break;
            }
            if let Some(slot) = self
                .ring
                .pop_front()
                .filter(|slot| *slot != TicketState::Gone)
            {
                self.older.insert(self.first, slot);
            }
            self.first += 1;
        }
    }

    /// Calls `visit` for every ticket that the table stores.
    pub(super) fn for_each(&mut self, mut visit: impl FnMut(Sequence, &mut TicketState)) {
        for (n, slot) in &mut self.older {
            visit(Sequence::new(*n), slot);
        }
        for (n, slot) in (self.first..).zip(&mut self.ring) {
            visit(Sequence::new(n), slot);
        }
    }
}
