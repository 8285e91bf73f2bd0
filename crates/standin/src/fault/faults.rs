use std::sync::{Arc, Mutex};

use tokio::sync::watch;

use crate::fault::{FaultMode, FaultRequest, FaultRule, FaultTarget};
use crate::util::lock;

/// Fault rules of one server. Clones share the same rules.
#[derive(Debug, Clone, Default)]
pub struct Faults(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    rules: Mutex<Vec<FaultRule>>,
    cleared: watch::Sender<()>,
}

impl Faults {
    /// Adds a rule, effective for requests that arrive from now on.
    pub fn add(&self, rule: FaultRule) {
        lock(&self.0.rules).push(rule);
    }

    /// Removes the rules of `target`; [`FaultTarget::All`] removes every rule.
    pub fn clear(&self, target: &FaultTarget) {
        let keep = |rule: &FaultRule| *target != FaultTarget::All && rule.target != *target;
        lock(&self.0.rules).retain(keep);
        self.0.cleared.send_replace(());
    }

    /// Adds or clears rules as `req` specifies.
    pub fn apply(&self, req: FaultRequest) {
        match req {
            FaultRequest::Add(rule) => self.add(rule),
            FaultRequest::Clear(target) => self.clear(&target),
        }
    }

    /// Returns the faults that apply to a request, and decrements the count of each matching rule. Freeze rules are not
    /// decremented: they end only when they are cleared.
    pub(crate) fn take_modes(&self, target: &FaultTarget, process: Option<&str>) -> Vec<FaultMode> {
        let mut rules = lock(&self.0.rules);
        let mut modes = Vec::new();
        for rule in rules.iter_mut() {
            if rule.applies_to(target, process) {
                if rule.mode != FaultMode::Freeze {
                    rule.count = rule.count.map(|count| count - 1);
                }
                modes.push(rule.mode);
            }
        }
        rules.retain(|rule| rule.count != Some(0));
        modes
    }

    /// Waits until rules have been cleared since the last change that `seen` observed.
    pub(crate) async fn wait_for_clear(&self, seen: &mut watch::Receiver<()>) {
        // `self` keeps the sender alive, so the wait can't fail.
        let _ = seen.changed().await;
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.0.cleared.subscribe()
    }

    pub(crate) fn is_frozen(&self, target: &FaultTarget, process: Option<&str>) -> bool {
        let is_freeze =
            |rule: &FaultRule| rule.mode == FaultMode::Freeze && rule.applies_to(target, process);
        lock(&self.0.rules).iter().any(is_freeze)
    }
}
