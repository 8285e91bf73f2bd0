use std::time::Duration;

use lagoon_core::id::PolicyVersion;
use lagoon_core::policy::Policy;
use lagoon_core::{Refusal, ResultCode};
use lagoon_platform::store::{Precondition, PutOutcome};
use lagoon_platform::{CallEffect, StoreClient};

use crate::change::StoredPolicy;
use crate::util::store_unavailable;

const KEY: &str = "policy";
/// Maximum number of attempts to determine the outcome of a write whose response was lost.
const MAX_READ_BACKS: usize = 5;
const READ_BACK_DELAY: Duration = Duration::from_millis(300);

/// The policy document in the store.
#[derive(Debug, Clone)]
pub(crate) struct PolicyStore {
    store: StoreClient,
}

impl PolicyStore {
    pub(crate) fn new(store: StoreClient) -> Self {
        Self { store }
    }

    /// Reads the policy. Before the first change, the store has none and the defaults are returned as version 0.
    pub(crate) async fn read(&self) -> Result<StoredPolicy, Refusal> {
        let entry = self
            .store
            .get(KEY)
            .await
            .map_err(|e| store_unavailable(&e))?;
        let Some(entry) = entry else {
            let policy = Policy {
                version: PolicyVersion::new(0),
                ..Policy::default()
            };
            let precondition = Precondition::Absent;
            return Ok(StoredPolicy {
                policy,
                precondition,
            });
        };
        let unreadable = |e| {
            let text = format!("invalid policy document in the store: {e}");
            Refusal::new(ResultCode::InvalidPolicy, text)
        };
        let policy = serde_json::from_str(&entry.value).map_err(unreadable)?;
        let precondition = Precondition::Version(entry.version);
        Ok(StoredPolicy {
            policy,
            precondition,
        })
    }

    /// Replaces `base` with `next`, whose serialized form is `document`.
    ///
    /// # Errors
    ///
    /// Returns `version_conflict` if another change was written first, `store_unavailable` if nothing was written, and
    /// `commit_unconfirmed` if the outcome could not be determined.
    pub(super) async fn replace(
        &self,
        base: &StoredPolicy,
        next: &Policy,
        document: &str,
    ) -> Result<(), Refusal> {
        let mut unconfirmed = false;
        for _ in 0..MAX_READ_BACKS {
            match self.store.put(KEY, document, base.precondition, None).await {
                Ok(PutOutcome::Written(_)) => return Ok(()),
                Ok(PutOutcome::Conflict { .. }) if !unconfirmed => return Err(conflict(next)),
                Ok(PutOutcome::Conflict { .. }) => {}
                Err(e) if e.effect() == CallEffect::None && !unconfirmed => {
                    return Err(store_unavailable(&e));
                }
                Err(e) => {
                    unconfirmed = true;
                    tracing::warn!(
                        "admin: policy write has an unknown outcome, reading it back: {e}"
                    );
                }
            }
            match self.read().await {
                Ok(current) if current.policy == *next => return Ok(()),
                Ok(current) if current.policy.version > next.version => break,
                Ok(current) if current.policy.version == next.version => {
                    return Err(conflict(next));
                }
                // The write has not arrived. Writing again is safe, because only one write can match `base.precondition`.
                Ok(_) => {}
                Err(refusal) => {
                    tracing::warn!("admin: failed to read the policy back, retrying: {refusal}");
                    tokio::time::sleep(READ_BACK_DELAY).await;
                }
            }
        }
        let text = format!(
            "policy version {} may have been written; repeat the command with the same id",
            next.version
        );
        Err(Refusal::new(ResultCode::CommitUnconfirmed, text))
    }
}

fn conflict(next: &Policy) -> Refusal {
    let text = format!(
        "policy version {} was written by another change",
        next.version
    );
    Refusal::new(ResultCode::VersionConflict, text)
}
