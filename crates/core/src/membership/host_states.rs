use std::collections::{BTreeMap, BTreeSet};

use crate::id::HostId;
use crate::membership::{HostListEntry, HostState};
use crate::unit::{Millis, Timestamp};

/// States of the hosts, from the platform's host list and operator commands.
///
/// A leaving host stops accepting work immediately. An older list may arrive after a newer one, so a host that returns
/// accepts work again only after the list has shown it as live for the longest delay of the list.
#[derive(Debug)]
pub struct HostStates {
    lag: Millis,
    listed: BTreeMap<HostId, ListedState>,
    drained: BTreeSet<HostId>,
    dead: BTreeSet<HostId>,
}

#[derive(Debug, Clone, Copy)]
enum ListedState {
    Live,
    Leaving,
    Returning { since: Timestamp },
}

impl HostStates {
    /// Creates states without hosts. `lag` is the longest delay of the host list.
    pub fn new(lag: Millis) -> Self {
        Self {
            lag,
            listed: BTreeMap::new(),
            drained: BTreeSet::new(),
            dead: BTreeSet::new(),
        }
    }

    /// Applies a complete host list. A missing host is leaving, not dead, because its tasks may still run.
    pub fn apply_host_list(&mut self, entries: &[HostListEntry], now: Timestamp) {
        let lag = self.lag;
        let live = entries.iter().filter(|entry| !entry.leaving);
        let live: BTreeSet<&HostId> = live.map(|entry| &entry.host).collect();
        for (host, listed) in &mut self.listed {
            *listed = match *listed {
                _ if !live.contains(host) => ListedState::Leaving,
                ListedState::Live => ListedState::Live,
                ListedState::Leaving => ListedState::Returning { since: now },
                ListedState::Returning { since } if now.since(since) >= lag => ListedState::Live,
                returning => returning,
            };
        }
        for entry in entries
            .iter()
            .filter(|entry| !self.listed.contains_key(&entry.host))
            .collect::<Vec<_>>()
        {
            let listed = match entry.leaving {
                true => ListedState::Leaving,
                false => ListedState::Live,
            };
            self.listed.insert(entry.host.clone(), listed);
        }
    }

    /// Marks a host as drained by an operator.
    pub fn drain(&mut self, host: HostId) {
        self.drained.insert(host);
    }

    /// Ends an operator's drain.
    pub fn undrain(&mut self, host: &HostId) {
        self.drained.remove(host);
    }

    /// Marks a host as dead after an operator's confirmation.
    pub fn confirm_dead(&mut self, host: HostId) {
        self.dead.insert(host);
    }

    /// Revokes the confirmation after the host was replaced under the same name.
    pub fn clear_dead(&mut self, host: &HostId) {
        self.dead.remove(host);
    }

    /// Removes a host that left and has no tasks.
    pub fn remove(&mut self, host: &HostId) {
        self.listed.remove(host);
        self.drained.remove(host);
        self.dead.remove(host);
    }

    /// Returns the state of a host. An unknown host counts as leaving.
    pub fn state(&self, host: &HostId) -> HostState {
        if self.dead.contains(host) {
            return HostState::Dead;
        }
        if self.drained.contains(host) {
            return HostState::Drained;
        }
        match self.listed.get(host) {
            Some(ListedState::Live) => HostState::Live,
            _ => HostState::Leaving,
        }
    }

    /// Returns true if new work may be placed on a host.
    pub fn accepts_new_work(&self, host: &HostId) -> bool {
        self.state(host) == HostState::Live
    }

    /// Returns the hosts confirmed dead by operators.
    pub fn confirmed_dead(&self) -> impl Iterator<Item = &HostId> {
        self.dead.iter()
    }
}
