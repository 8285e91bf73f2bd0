use std::sync::Arc;

use lagoon_core::id::PolicyVersion;
use lagoon_core::policy::Policy;
use tokio::sync::watch;

/// The policy in force in this process.
#[derive(Debug)]
pub(crate) struct PolicyCell {
    current: watch::Sender<Option<Arc<Policy>>>,
}

impl Default for PolicyCell {
    fn default() -> Self {
        Self {
            current: watch::Sender::new(None),
        }
    }
}

impl PolicyCell {
    /// Returns the policy, or `None` until one has been received.
    pub(crate) fn get(&self) -> Option<Arc<Policy>> {
        self.current.borrow().clone()
    }

    /// Returns the version in force, or zero until a policy has been received.
    pub(crate) fn version(&self) -> PolicyVersion {
        self.current
            .borrow()
            .as_ref()
            .map(|policy| policy.version)
            .unwrap_or_default()
    }

    /// Replaces the policy if the given one is newer. Returns true if it was.
    pub(crate) fn update(&self, policy: Policy) -> bool {
        let version = policy.version;
        let is_newer = self.current.send_if_modified(|current| {
            let is_newer = current.as_ref().is_none_or(|known| known.version < version);
            if is_newer {
                *current = Some(Arc::new(policy));
            }
            is_newer
        });
        if is_newer {
            tracing::info!("policy: version {version} is in force");
        }
        is_newer
    }

    /// Parses a document, and puts its policy in force if it is valid and newer.
    pub(crate) fn update_from_document(&self, document: &str) {
        match serde_json::from_str::<Policy>(document) {
            Ok(policy) if policy.validate().is_empty() => {
                self.update(policy);
            }
            Ok(policy) => {
                let version = policy.version;
                tracing::error!(
                    "policy: version {version} is invalid, the current policy stays in force: {:?}",
                    policy.validate()
                );
            }
            Err(e) => tracing::error!(
                "policy: document can't be parsed, the current policy stays in force: {e}"
            ),
        }
    }
}
