use std::collections::{BTreeMap, BTreeSet};

use crate::id::HostId;
use crate::membership::{HostListEntry, HostState};
use crate::unit::{Millis, Timestamp};

/// States of the hosts, from the platform's list and the operators' commands.
///
/// Leaving takes effect at once. Since an older list may arrive after a newer one, a host takes work again only after
/// the list has shown it as live for as long as the list may lag.
#[derive(Debug)]
pub struct HostStates {
    lag: Millis,
    listed: BTreeMap<HostId, Listed>,
    drained: BTreeSet<HostId>,
    dead: BTreeSet<HostId>,
}

#[derive(Debug, Clone, Copy)]
enum Listed {
    Live,
    Leaving,
    Returning { since: Timestamp },
}

impl HostStates {
    /// Starts without hosts; `lag` is the longest delay of the host list.
    pub fn new(lag: Millis) -> Self {
        Self {
            lag,
            listed: BTreeMap::new(),
            drained: BTreeSet::new(),
            dead: BTreeSet::new(),
        }
    }

    /// Takes a complete list. A host that is missing is leaving, not dead: the list says nothing about its tasks.
    pub fn apply_host_list(&mut self, entries: &[HostListEntry], now: Timestamp) {
        let lag = self.lag;
        let live = entries.iter().filter(|entry| !entry.leaving);
        let live: BTreeSet<&HostId> = live.map(|entry| &entry.host).collect();
        for (host, listed) in &mut self.listed {
            *listed = match *listed {
                _ if !live.contains(host) => Listed::Leaving,
                Listed::Live => Listed::Live,
                Listed::Leaving => Listed::Returning { since: now },
                Listed::Returning { since } if now.since(since) >= lag => Listed::Live,
                returning => returning,
            };
        }
        for entry in entries
            .iter()
            .filter(|entry| !self.listed.contains_key(&entry.host))
            .collect::<Vec<_>>()
        {
            let listed = match entry.leaving {
                true => Listed::Leaving,
                false => Listed::Live,
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

    /// Marks a host as dead on an operator's word.
    pub fn confirm_dead(&mut self, host: HostId) {
        self.dead.insert(host);
    }

    /// Takes back a confirmation after the host was replaced under the same name.
    pub fn clear_dead(&mut self, host: &HostId) {
        self.dead.remove(host);
    }

    /// Forgets a host that left and has no tasks.
    pub fn remove(&mut self, host: &HostId) {
        self.listed.remove(host);
        self.drained.remove(host);
        self.dead.remove(host);
    }

    /// Returns the state of a host; an unknown one counts as leaving.
    pub fn state(&self, host: &HostId) -> HostState {
        if self.dead.contains(host) {
            return HostState::Dead;
        }
        if self.drained.contains(host) {
            return HostState::Drained;
        }
        match self.listed.get(host) {
            Some(Listed::Live) => HostState::Live,
            _ => HostState::Leaving,
        }
    }

    /// Tells whether new work may be placed on a host.
    pub fn accepts_new_work(&self, host: &HostId) -> bool {
        self.state(host) == HostState::Live
    }

    /// Returns the hosts that the operators confirmed as dead.
    pub fn confirmed_dead(&self) -> impl Iterator<Item = &HostId> {
        self.dead.iter()
    }
}
