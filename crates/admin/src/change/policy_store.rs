use std::time::Duration;

use lagoon_core::id::PolicyVersion;
use lagoon_core::policy::Policy;
use lagoon_core::{Refusal, ResultCode};
use lagoon_platform::store::{Precondition, PutOutcome};
use lagoon_platform::{CallEffect, StoreClient};

use crate::change::StoredPolicy;
use crate::util::store_down;

/// Key of the policy document.
const KEY: &str = "policy";
/// Attempts to find out what became of a write whose answer was lost.
const READ_BACKS: usize = 5;
const READ_BACK_PAUSE: Duration = Duration::from_millis(300);

/// The policy document in the store.
#[derive(Debug, Clone)]
pub(crate) struct PolicyStore {
    store: StoreClient,
}

impl PolicyStore {
    pub(crate) fn new(store: StoreClient) -> Self {
        Self { store }
    }

    /// Reads the policy. Before the first change there is none, and the defaults count as version 0.
    pub(crate) async fn read(&self) -> Result<StoredPolicy, Refusal> {
        let entry = self.store.get(KEY).await.map_err(|e| store_down(&e))?;
        let Some(entry) = entry else {
            let policy = Policy {
                version: PolicyVersion::new(0),
                ..Policy::default()
            };
            let expect = Precondition::Absent;
            return Ok(StoredPolicy { policy, expect });
        };
        let unreadable = |e| {
            let text = format!("the policy in the store can't be read: {e}");
            Refusal::new(ResultCode::InvalidPolicy, text)
        };
        let policy = serde_json::from_str(&entry.value).map_err(unreadable)?;
        let expect = Precondition::Version(entry.version);
        Ok(StoredPolicy { policy, expect })
    }

    /// Replaces `base` by `next`, whose text is `document`.
    ///
    /// # Errors
    ///
    /// `version_conflict` if another change came first, `store_unavailable` if nothing was written, and
    /// `commit_unconfirmed` if the store does not tell whether the change was written.
    pub(super) async fn replace(
        &self,
        base: &StoredPolicy,
        next: &Policy,
        document: &str,
    ) -> Result<(), Refusal> {
        let mut lost = false;
        for _ in 0..READ_BACKS {
            match self.store.put(KEY, document, base.expect, None).await {
                Ok(PutOutcome::Written(_)) => return Ok(()),
                Ok(PutOutcome::Conflict { .. }) if !lost => return Err(conflict(next)),
                Ok(PutOutcome::Conflict { .. }) => {}
                Err(e) if e.effect() == CallEffect::None && !lost => return Err(store_down(&e)),
                Err(e) => {
                    lost = true;
                    tracing::warn!("admin: the policy is read back: {e}");
                }
            }
            match self.read().await {
                Ok(current) if current.policy == *next => return Ok(()),
                Ok(current) if current.policy.version > next.version => break,
                Ok(current) if current.policy.version == next.version => {
                    return Err(conflict(next));
                }
                // The write has not arrived. Writing again is safe: only one write can meet the expectation.
                Ok(_) => {}
                Err(refusal) => {
                    tracing::warn!("admin: the policy can't be read back: {refusal}");
                    tokio::time::sleep(READ_BACK_PAUSE).await;
                }
            }
        }
        let text = format!(
            "version {} of the policy may have been written; send the command again with the same id",
            next.version
        );
        Err(Refusal::new(ResultCode::CommitUnconfirmed, text))
    }
}

fn conflict(next: &Policy) -> Refusal {
    let text = format!(
        "version {} of the policy was written by another change",
        next.version
    );
    Refusal::new(ResultCode::VersionConflict, text)
}
