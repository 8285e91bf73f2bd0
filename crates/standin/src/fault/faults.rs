use std::sync::{Arc, Mutex};

use tokio::sync::watch;

use crate::fault::{FaultMode, FaultRequest, FaultRule, FaultTarget};
use crate::util::lock;

/// Rules of one server; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Faults(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    rules: Mutex<Vec<FaultRule>>,
    changed: watch::Sender<()>,
}

impl Faults {
    /// Adds a rule to those in force.
    pub fn add(&self, rule: FaultRule) {
        lock(&self.0.rules).push(rule);
    }

    /// Removes the rules of `target`; [`FaultTarget::All`] removes every rule.
    pub fn clear(&self, target: &FaultTarget) {
        let keep = |rule: &FaultRule| *target != FaultTarget::All && rule.target != *target;
        lock(&self.0.rules).retain(keep);
        self.0.changed.send_replace(());
    }

    /// Does what `req` says.
    pub fn apply(&self, req: FaultRequest) {
        match req {
            FaultRequest::Add(rule) => self.add(rule),
            FaultRequest::Clear(target) => self.clear(&target),
        }
    }

    /// Returns the modes that apply to a call and uses up one call of each counted rule. A freeze ends
    /// only when it is cleared.
    pub(crate) fn take(&self, target: &FaultTarget, process: Option<&str>) -> Vec<FaultMode> {
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

    /// Waits until some rule has been cleared since `seen` was made.
    pub(crate) async fn lifted(&self, seen: &mut watch::Receiver<()>) {
        // The sender lives as long as `self`, so the wait can't fail.
        let _ = seen.changed().await;
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.0.changed.subscribe()
    }

    pub(crate) fn is_frozen(&self, target: &FaultTarget, process: Option<&str>) -> bool {
        let freezes =
            |rule: &FaultRule| rule.mode == FaultMode::Freeze && rule.applies_to(target, process);
        lock(&self.0.rules).iter().any(freezes)
    }
}
