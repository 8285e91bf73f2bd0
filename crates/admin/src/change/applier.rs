use lagoon_core::id::{CallerId, ProcessId};
use lagoon_core::membership::stable_hash;
use lagoon_core::policy::Policy;
use lagoon_core::{Refusal, RefusalClass, ResultCode};
use lagoon_language::Command;
use lagoon_process::Clock;

use crate::audit::{AuditLog, ChangeResult, Found, PolicyMark, Record, RecordTime};
use crate::change::{
    Applied, ApplyRequest, Effect, Plan, Planner, PolicyStore, StoredPolicy, Turns, shard_apply,
};
use crate::fleet::Fleet;
use crate::util::Versions;

/// Carries out commands.
#[derive(Debug)]
pub(crate) struct Applier {
    pub(crate) process: ProcessId,
    pub(crate) planner: Planner,
    pub(crate) fleet: Fleet,
    pub(crate) policy: PolicyStore,
    pub(crate) audit: AuditLog,
    pub(crate) clock: Clock,
    turns: Turns,
}

impl Applier {
    pub(crate) fn new(process: ProcessId, planner: Planner, audit: AuditLog) -> Self {
        Self {
            process,
            fleet: planner.fleet.clone(),
            policy: planner.policy.clone(),
            clock: planner.clock,
            planner,
            audit,
            turns: Turns::default(),
        }
    }

    /// Carries out a command once.
    ///
    /// # Errors
    ///
    /// `stale_preview`, `count_required`, `version_conflict`, `store_unavailable` and what the plan and the owners of
    /// the shards refuse.
    pub(crate) async fn apply(
        &self,
        operator: &CallerId,
        command: &Command,
        req: &ApplyRequest,
    ) -> Result<Applied, Refusal> {
        let _turn = self.turns.wait(&req.command_id).await;
        let found = self.audit.find(&req.command_id).await?;
        if let Some(earlier) = &found.record {
            same_command(earlier, operator, command)?;
            if let Some(applied) = self.repeat(earlier, found.fresh).await? {
                return Ok(applied);
            }
        }
        let plan = self.planner.plan(command).await?;
        self.check(&plan, req).await?;
        let record = Record {
            command: req.command_id.clone(),
            operator: operator.clone(),
            process: self.process.clone(),
            at: RecordTime::new(self.clock.now()),
            text: plan.text.clone(),
            preview: plan.summary(),
            before: plan.versions.to_string(),
            after: String::new(),
            policy: None,
            result: ChangeResult::Intended,
            late: false,
        };
        match plan.effect {
            Effect::Nothing => {
                let result = ChangeResult::Applied {
                    changed: 0,
                    failed: Vec::new(),
                };
                self.finish(record, result).await
            }
            Effect::Policy { base, next } => {
                let changed = plan.touched.len() as u64;
                self.change_policy(record, found, &base, &next, changed)
                    .await
            }
            Effect::Shards(changes) => {
                let result = shard_apply::send(&self.fleet, &record, changes).await;
                self.finish(record, result).await
            }
        }
    }

    /// Returns the result of an earlier apply with the same id; none if it had no effect and may be tried again.
    async fn repeat(&self, earlier: &Record, fresh: bool) -> Result<Option<Applied>, Refusal> {
        match &earlier.result {
            ChangeResult::Applied { changed, failed } => {
                let (changed, failed) = (*changed, failed.clone());
                let applied = Applied::new(earlier.clone(), changed, failed, fresh, true);
                Ok(Some(applied))
            }
            ChangeResult::Refused(_) => Ok(None),
            ChangeResult::Intended | ChangeResult::NotKnown(_) => match earlier.policy {
                Some(mark) => self.resolve(earlier, mark).await,
                // Owners of shards carry out a repeat without a further effect.
                None => Ok(None),
            },
        }
    }

    /// Finds out from the policy itself whether an earlier change of it was written.
    async fn resolve(
        &self,
        earlier: &Record,
        mark: PolicyMark,
    ) -> Result<Option<Applied>, Refusal> {
        let current = self.policy.read().await?.policy;
        if current.version > mark.version {
            if self.is_by_another(earlier, mark).await? {
                return Ok(None);
            }
            let text = format!(
                "the policy is at version {} by now; whether version {} was written by this command is not known",
                current.version, mark.version
            );
            return Err(Refusal::new(ResultCode::CommitUnconfirmed, text));
        }
        if current.version < mark.version || hash_of(&document(&current)?) != mark.hash {
            return Ok(None);
        }
        let result = ChangeResult::Applied {
            changed: mark.changed,
            failed: Vec::new(),
        };
        let record = Record {
            at: RecordTime::new(self.clock.now()),
            process: self.process.clone(),
            after: policy_version(&current),
            late: false,
            ..earlier.clone()
        };
        self.finish(record, result).await.map(Some)
    }

    /// Tells whether another command wrote the version that this one would have written. Each version is written once.
    async fn is_by_another(&self, earlier: &Record, mark: PolicyMark) -> Result<bool, Refusal> {
        let (records, _) = self.audit.all().await?;
        Ok(records.iter().any(|record| {
            record.command != earlier.command
                && matches!(record.result, ChangeResult::Applied { .. })
                && record
                    .policy
                    .is_some_and(|other| other.version == mark.version)
        }))
    }

    /// Compares the plan with what the operator confirmed.
    async fn check(&self, plan: &Plan, req: &ApplyRequest) -> Result<(), Refusal> {
        if plan.confirmation() != req.confirmation {
            let mut text = format!(
                "not what the preview showed: {} at {}",
                plan.counted(),
                plan.versions
            );
            if matches!(plan.effect, Effect::Policy { .. } | Effect::Nothing) {
                text.push_str(&self.last_policy_change().await);
            }
            return Err(Refusal::new(ResultCode::StalePreview, text));
        }
        let count = plan.count();
        if count > self.planner.count_limit && req.count != Some(count) {
            let counted = plan.counted();
            let text = format!("{counted} would be touched; confirm with \"count\": {count}");
            return Err(Refusal::new(ResultCode::CountRequired, text));
        }
        Ok(())
    }

    /// Tells who changed the policy last, as the end of a sentence.
    async fn last_policy_change(&self) -> String {
        let Ok((records, _)) = self.audit.all().await else {
            return String::new();
        };
        let changed = |record: &&Record| {
            record.policy.is_some() && matches!(record.result, ChangeResult::Applied { .. })
        };
        match records.iter().rfind(changed) {
            Some(last) => format!(
                "; the policy was last changed by {} with `{}`",
                last.operator, last.text
            ),
            None => String::new(),
        }
    }

    /// Writes the intent, then the policy, then the result.
    async fn change_policy(
        &self,
        record: Record,
        found: Found,
        base: &StoredPolicy,
        next: &Policy,
        changed: u64,
    ) -> Result<Applied, Refusal> {
        let document = document(next)?;
        let mark = PolicyMark {
            version: next.version,
            hash: hash_of(&document),
            changed,
        };
        let intent = Record {
            policy: Some(mark),
            ..record
        };
        if let Err(refusal) = self.audit.begin(intent.clone(), found.record).await {
            // The record of the refusal waits for the store like those of commands to shards.
            return self.finish(intent, ChangeResult::Refused(refusal)).await;
        }
        let result = match self.policy.replace(base, next, &document).await {
            Ok(()) => ChangeResult::Applied {
                changed,
                failed: Vec::new(),
            },
            Err(refusal) if refusal.class() == RefusalClass::NotKnown => {
                ChangeResult::NotKnown(refusal)
            }
            Err(refusal) => ChangeResult::Refused(refusal),
        };
        let after = match &result {
            ChangeResult::Applied { .. } => policy_version(next),
            _ => String::new(),
        };
        self.finish(Record { after, ..intent }, result).await
    }

    /// Records the result and returns it.
    async fn finish(&self, record: Record, result: ChangeResult) -> Result<Applied, Refusal> {
        let record = Record {
            at: RecordTime::new(self.clock.now()),
            result,
            ..record
        };
        tracing::info!(
            "admin: {} sent {}: `{}`: {}",
            record.operator,
            record.command,
            record.text,
            record.result
        );
        let recorded = self.audit.note(record.clone()).await;
        match record.result.clone() {
            ChangeResult::Applied { changed, failed } => {
                Ok(Applied::new(record, changed, failed, recorded, false))
            }
            ChangeResult::Refused(refusal) | ChangeResult::NotKnown(refusal) => Err(refusal),
            ChangeResult::Intended => {
                let text = "the command was not carried out";
                Err(Refusal::new(ResultCode::CommitUnconfirmed, text))
            }
        }
    }
}

fn same_command(earlier: &Record, operator: &CallerId, command: &Command) -> Result<(), Refusal> {
    if earlier.text == command.to_string() && earlier.operator == *operator {
        return Ok(());
    }
    let text = format!(
        "the command id was used before by {} for `{}`",
        earlier.operator, earlier.text
    );
    Err(Refusal::new(ResultCode::KeyConflict, text))
}

fn document(policy: &Policy) -> Result<String, Refusal> {
    let failed = |e| Refusal::new(ResultCode::InvalidPolicy, format!("{e}"));
    serde_json::to_string(policy).map_err(failed)
}

fn hash_of(document: &str) -> u64 {
    stable_hash(&[document])
}

fn policy_version(policy: &Policy) -> String {
    let mut versions = Versions::default();
    versions.add("policy", policy.version.get());
    versions.to_string()
}
