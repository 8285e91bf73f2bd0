//! Invariants that are checked at the change that could break them. A broken one stops the shard with a numbered code.

use crate::code::{Refusal, RefusalClass, ResultCode};
use crate::id::WorkerId;
use crate::shard::task_placement::TaskPlacement;
use crate::shard::work_record::WorkRecord;
use crate::shard::{Effect, Shard, ShardEvent};
use crate::work::Outcome;

impl Shard {
    /// Stops the shard; nothing is started or said any more.
    pub(super) fn halt(&mut self, refusal: Refusal) {
        let event = match refusal.code {
            ResultCode::NotOwner => ShardEvent::Superseded,
            _ => ShardEvent::Broken,
        };
        self.lifecycle.handle(event);
        self.effects.push(Effect::Halt(refusal));
    }

    /// Checks a capacity change; a failed one stops the shard.
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

/// Checks that work which ends as "not run" has nothing that may have run.
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

/// Describes a member that runs in a place while it may run in another one.
pub(super) fn describe_duplicate(
    record: &WorkRecord,
    placement: &TaskPlacement,
    worker: &WorkerId,
) -> String {
    let (index, first) = (placement.index, &placement.worker);
    let work = &record.id;
    format!("member {index} of {work} runs on {worker} and may run on {first}")
}
