use lagoon_core::id::{CallerId, ProcessId};
use lagoon_core::membership::stable_hash;
use lagoon_core::policy::Policy;
use lagoon_core::{Refusal, RefusalClass, ResultCode};
use lagoon_language::Command;
use lagoon_process::Clock;

use crate::audit::{AuditLog, ChangeResult, PolicyFingerprint, Record, RecordLookup, RecordTime};
use crate::change::{
    ApplyRequest, ApplyResponse, CommandLocks, Plan, PlannedChange, Planner, PolicyStore,
    StoredPolicy, shard_apply,
};
use crate::schedulers::SchedulerPool;
use crate::util::Versions;

/// Executes commands.
#[derive(Debug)]
pub(crate) struct Applier {
    pub(crate) process: ProcessId,
    pub(crate) planner: Planner,
    pub(crate) schedulers: SchedulerPool,
    pub(crate) policy: PolicyStore,
    pub(crate) audit: AuditLog,
    pub(crate) clock: Clock,
    command_locks: CommandLocks,
}

impl Applier {
    pub(crate) fn new(process: ProcessId, planner: Planner, audit: AuditLog) -> Self {
        Self {
            process,
            schedulers: planner.schedulers.clone(),
            policy: planner.policy.clone(),
            clock: planner.clock,
            planner,
            audit,
            command_locks: CommandLocks::default(),
        }
    }

    /// Executes a command. A repeat with the same command id does not execute it twice.
    ///
    /// # Errors
    ///
    /// Returns `stale_preview`, `count_required`, `version_conflict`, `store_unavailable`, or a refusal of the plan or of
    /// a shard's owner.
    pub(crate) async fn apply(
        &self,
        operator: &CallerId,
        command: &Command,
        req: &ApplyRequest,
    ) -> Result<ApplyResponse, Refusal> {
        let _guard = self.command_locks.lock(&req.command_id).await;
        let found = self.audit.find(&req.command_id).await?;
        if let Some(earlier) = &found.record {
            check_same_command(earlier, operator, command)?;
            if let Some(response) = self.earlier_result(earlier, found.fresh).await? {
                return Ok(response);
            }
        }
        let plan = self.planner.plan(command).await?;
        self.check_confirmation(&plan, req).await?;
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
        match plan.change {
            PlannedChange::Nothing => {
                let result = ChangeResult::Applied {
                    changed: 0,
                    failed: Vec::new(),
                };
                self.finish(record, result).await
            }
            PlannedChange::Policy { base, next } => {
                let changed = plan.affected.len() as u64;
                self.change_policy(record, found, &base, &next, changed)
                    .await
            }
            PlannedChange::Shards(changes) => {
                let result = shard_apply::send(&self.schedulers, &record, changes).await;
                self.finish(record, result).await
            }
        }
    }

    /// Returns the result of an earlier apply with the same id. Returns `None` if the command must be executed again.
    async fn earlier_result(
        &self,
        earlier: &Record,
        fresh: bool,
    ) -> Result<Option<ApplyResponse>, Refusal> {
        match &earlier.result {
            ChangeResult::Applied { changed, failed } => {
                let (changed, failed) = (*changed, failed.clone());
                let response = ApplyResponse::new(earlier.clone(), changed, failed, fresh, true);
                Ok(Some(response))
            }
            ChangeResult::Refused(_) => Ok(None),
            ChangeResult::Intended | ChangeResult::NotKnown(_) => match earlier.policy {
                Some(fingerprint) => self.resolve_policy_write(earlier, fingerprint).await,
                // Shard owners treat a repeat of a command as idempotent.
                None => Ok(None),
            },
        }
    }

    /// Determines from the stored policy whether an earlier change was written. Returns `None` if it was not.
    async fn resolve_policy_write(
        &self,
        earlier: &Record,
        fingerprint: PolicyFingerprint,
    ) -> Result<Option<ApplyResponse>, Refusal> {
        let current = self.policy.read().await?.policy;
        if current.version > fingerprint.version {
            if self.is_written_by_another(earlier, fingerprint).await? {
                return Ok(None);
            }
            let text = format!(
                "the policy is at version {}; whether this command wrote version {} is unknown",
                current.version, fingerprint.version
            );
            return Err(Refusal::new(ResultCode::CommitUnconfirmed, text));
        }
        if current.version < fingerprint.version
            || document_hash(&document(&current)?) != fingerprint.hash
        {
            return Ok(None);
        }
        let result = ChangeResult::Applied {
            changed: fingerprint.changed,
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

    /// Returns true if another command wrote the policy version that this one would have written. Each version is
    /// written only once.
    async fn is_written_by_another(
        &self,
        earlier: &Record,
        fingerprint: PolicyFingerprint,
    ) -> Result<bool, Refusal> {
        let (records, _) = self.audit.latest_records().await?;
        Ok(records.iter().any(|record| {
            record.command != earlier.command
                && matches!(record.result, ChangeResult::Applied { .. })
                && record
                    .policy
                    .is_some_and(|other| other.version == fingerprint.version)
        }))
    }

    /// Checks that the plan matches the confirmation code and, above the limit, the confirmed count.
    async fn check_confirmation(&self, plan: &Plan, req: &ApplyRequest) -> Result<(), Refusal> {
        if plan.confirmation() != req.confirmation {
            let mut text = format!(
                "the plan differs from the preview: now {} at {}",
                plan.count_with_unit(),
                plan.versions
            );
            if matches!(
                plan.change,
                PlannedChange::Policy { .. } | PlannedChange::Nothing
            ) {
                text.push_str(&self.last_policy_change().await);
            }
            return Err(Refusal::new(ResultCode::StalePreview, text));
        }
        let count = plan.count();
        if count > self.planner.count_limit && req.count != Some(count) {
            let counted = plan.count_with_unit();
            let text = format!("the command affects {counted}; confirm with \"count\": {count}");
            return Err(Refusal::new(ResultCode::CountRequired, text));
        }
        Ok(())
    }

    /// Returns a message suffix that names the operator and command of the last policy change.
    async fn last_policy_change(&self) -> String {
        let Ok((records, _)) = self.audit.latest_records().await else {
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

    /// Replaces the policy: records the intent, writes the policy and records the result.
    async fn change_policy(
        &self,
        record: Record,
        found: RecordLookup,
        base: &StoredPolicy,
        next: &Policy,
        changed: u64,
    ) -> Result<ApplyResponse, Refusal> {
        let document = document(next)?;
        let fingerprint = PolicyFingerprint {
            version: next.version,
            hash: document_hash(&document),
            changed,
        };
        let intent = Record {
            policy: Some(fingerprint),
            ..record
        };
        if let Err(refusal) = self.audit.record_intent(intent.clone(), found.record).await {
            // While the store is down, the record of the refusal waits in memory like those of commands to shards.
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

    /// Records the result of a command and returns it.
    async fn finish(&self, record: Record, result: ChangeResult) -> Result<ApplyResponse, Refusal> {
        let record = Record {
            at: RecordTime::new(self.clock.now()),
            result,
            ..record
        };
        tracing::info!(
            "admin: operator {} sent command {}: `{}`: {}",
            record.operator,
            record.command,
            record.text,
            record.result
        );
        let recorded = self.audit.record_result(record.clone()).await;
        match record.result.clone() {
            ChangeResult::Applied { changed, failed } => {
                Ok(ApplyResponse::new(record, changed, failed, recorded, false))
            }
            ChangeResult::Refused(refusal) | ChangeResult::NotKnown(refusal) => Err(refusal),
            ChangeResult::Intended => {
                let text = "the command was not executed";
                Err(Refusal::new(ResultCode::CommitUnconfirmed, text))
            }
        }
    }
}

fn check_same_command(
    earlier: &Record,
    operator: &CallerId,
    command: &Command,
) -> Result<(), Refusal> {
    if earlier.text == command.to_string() && earlier.operator == *operator {
        return Ok(());
    }
    let text = format!(
        "command id already used by {} for `{}`",
        earlier.operator, earlier.text
    );
    Err(Refusal::new(ResultCode::KeyConflict, text))
}

fn document(policy: &Policy) -> Result<String, Refusal> {
    let failed = |e| Refusal::new(ResultCode::InvalidPolicy, format!("{e}"));
    serde_json::to_string(policy).map_err(failed)
}

fn document_hash(document: &str) -> u64 {
    stable_hash(&[document])
}

fn policy_version(policy: &Policy) -> String {
    let mut versions = Versions::default();
    versions.add("policy", policy.version.get());
    versions.to_string()
}
