use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use lagoon_platform::hosts::HostEntry;
use tokio::time::Instant;

/// The visible host list, and newer lists that are not visible yet.
#[derive(Debug)]
pub(crate) struct HostListState {
    lag: Duration,
    visible: Arc<Vec<HostEntry>>,
    pending: VecDeque<(Instant, Arc<Vec<HostEntry>>)>,
}

impl HostListState {
    pub(crate) fn new(lag: Duration, hosts: Vec<HostEntry>) -> Self {
        Self {
            lag,
            visible: Arc::new(hosts),
            pending: VecDeque::new(),
        }
    }

    /// Returns the list that is visible at `now`.
    pub(crate) fn visible(&mut self, now: Instant) -> Arc<Vec<HostEntry>> {
        while let Some((_, hosts)) = self.pending.pop_front_if(|(at, _)| *at <= now) {
            self.visible = hosts;
        }
        self.visible.clone()
    }

    /// Applies a change to the newest list. It becomes visible after the lag.
    pub(crate) fn change(&mut self, now: Instant, change: impl FnOnce(&mut Vec<HostEntry>)) {
        let latest = self
            .pending
            .back()
            .map_or(&self.visible, |(_, hosts)| hosts);
        let mut hosts = Vec::clone(latest);
        change(&mut hosts);
        self.pending.push_back((now + self.lag, Arc::new(hosts)));
    }
}
