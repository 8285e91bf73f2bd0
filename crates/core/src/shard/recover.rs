//! Recovery of work that an earlier owner accepted.

use crate::code::{Refusal, ResultCode};
use crate::id::WorkId;
use crate::shard::after_stop::AfterStop;
use crate::shard::work_record::WorkRecord;
use crate::shard::{Deduplication, Shard};
use crate::unit::Timestamp;
use crate::work::{Outcome, Repeatability, WorkKind, WorkState};

impl Shard {
    /// Loads the live work of the journal. It stays unresolved until the workers of earlier owners have responded.
    pub(super) fn load_inherited(&mut self) {
        let used = self.journal.state().workers().iter();
        self.unfenced = used
            .map(|(worker, used)| (worker.clone(), used.incarnation))
            .collect();
        let live = self.journal.state().live().clone();
        for (id, live) in live {
            let Some(key) = live.key else {
                continue;
            };
            self.by_key
                .insert((live.spec.team.clone(), key.clone()), id.clone());
            let deduplication = Deduplication::Journal(key);
            let mut record = WorkRecord::new(
                id.clone(),
                live.spec,
                deduplication,
                live.fingerprint,
                live.accepted_at,
            );
            record.inherited = true;
            record.may_have_run = live.may_have_run;
            record.state = WorkState::Unresolved;
            record.reason =
                "accepted by an earlier owner; not all of its workers have responded".to_owned();
            self.records.insert(id, record);
        }
    }

    /// Decides about inherited work that no worker reported, once all have responded.
    pub(super) fn resolve_inherited(&mut self, now: Timestamp) {
        let inherited = self.records.values().filter(|record| record.inherited);
        let ids: Vec<WorkId> = inherited.map(|record| record.id.clone()).collect();
        for work in ids {
            self.resolve(&work, now);
        }
    }

    fn resolve(&mut self, work: &WorkId, now: Timestamp) {
        let held = self
            .journal
            .state()
            .live()
            .get(work)
            .is_some_and(|live| live.held);
        let lost = self.inherited_tasks_lost;
        let Some(record) = self.records.get_mut(work) else {
            return;
        };
        record.inherited = false;
        if record.ending.is_some() {
            return;
        }
        if !record.placements.is_empty() {
            let running = record.state == WorkState::Running;
            let open = record
                .placements
                .iter()
                .any(|placement| !placement.is_finished());
            if !running || !open {
                // Only a part of the gang runs, but a gang job starts as a whole or not at all.
                record.state = WorkState::Starting;
                self.stop_all(work, AfterStop::Requeue);
                self.complete_if_stopped(work, now);
            }
            return;
        }
        // Executors keep no inventory, so a request without an outcome may have run.
        let may_have_run = lost || record.spec.kind == WorkKind::Service;
        let may_have_run = may_have_run && !record.unsent;
        if may_have_run && record.spec.repeatability == Repeatability::AtMostOnce {
            let text = "the previous owner or a host was lost while the work may have been running";
            let refusal = Refusal::new(ResultCode::HostLost, text);
            self.end(work, Outcome::Refused(refusal), now);
            return;
        }
        if may_have_run {
            record.may_have_run = true;
            self.record_restart(work);
        }
        let Some(record) = self.records.get_mut(work) else {
            return;
        };
        record.state = WorkState::Waiting;
        record.reason = "waiting in the queue".to_owned();
        let after_stop = record.after_stop.take();
        let entry = record.queue_entry();
        self.queue_of(work).push(entry);
        if let Some(AfterStop::End(outcome)) = after_stop {
            self.end(work, outcome, now);
        } else if held && let Some(record) = self.records.get_mut(work) {
            record.state = WorkState::Held;
            record.reason = "held by an operator".to_owned();
            self.queue_of(work).hold(work);
        }
    }
}
