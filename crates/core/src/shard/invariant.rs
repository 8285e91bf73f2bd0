//! Invariants, checked at each change that could violate them. A violation stops the shard with a numbered code.

use crate::code::{Refusal, RefusalClass, ResultCode};
use crate::id::WorkerId;
use crate::shard::task_placement::TaskPlacement;
use crate::shard::work_record::WorkRecord;
use crate::shard::{Effect, Shard, ShardEvent};
use crate::work::Outcome;

impl Shard {
    /// Stops the shard: it starts no work and sends no replies any more.
    pub(super) fn halt(&mut self, refusal: Refusal) {
        let event = match refusal.code {
            ResultCode::NotOwner => ShardEvent::Superseded,
            _ => ShardEvent::Broken,
        };
        self.lifecycle.handle(event);
        self.effects.push(Effect::Halt(refusal));
    }

    /// Returns the value of a checked change, or halts the shard with `code` if the change failed.
    pub(super) fn halt_on_error<T, E: std::fmt::Display>(
        &mut self,
        code: ResultCode,
        result: Result<T, E>,
    ) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(e) => {
                let text = format!("shard {}: {e}", self.config.shard);
                self.halt(Refusal::new(code, text));
                None
            }
        }
    }
}

/// Checks that work which ends as "not run" has no part that may have run.
pub(super) fn check_not_run(record: &WorkRecord, outcome: &Outcome) -> Result<(), String> {
    let not_run = matches!(outcome, Outcome::Refused(r) if r.class() != RefusalClass::NotKnown);
    if not_run && record.may_have_started() {
        return Err(format!(
            "{} may have started and can't be refused as not run",
            record.id
        ));
    }
    Ok(())
}

/// Describes a task that runs on one worker while it may run on another one.
pub(super) fn describe_duplicate(
    record: &WorkRecord,
    placement: &TaskPlacement,
    worker: &WorkerId,
) -> String {
    let (index, first) = (placement.index, &placement.worker);
    let work = &record.id;
    format!("task {index} of {work} runs on {worker} and may also run on {first}")
}
