//! Writes of the owners to the store.

use lagoon_jobs::dispatch::StoredJob;
use lagoon_jobs::id::JobId;
use lagoon_jobs::record::RecordLane;
use rand::Rng;

use super::Sim;

impl Sim {
    /// Looks up a job in the store.
    pub(super) fn look_up_job(&mut self, id: JobId) {
        let outcome = self.progress.get(&id).and_then(|found| found.outcome);
        let found = match (outcome, self.records.get(&id)) {
            (Some(state), _) => StoredJob::Ended(state),
            (None, Some(record)) => StoredJob::Live(record.clone()),
            (None, None) => StoredJob::Absent,
        };
        self.dispatcher.job_looked_up(id, found, self.now);
    }

    pub(super) fn record(&mut self) {
        RecordLane::all().for_each(|lane| self.record_lane(lane));
        if !self.fault_free && self.rng.random_bool(0.2) {
            return;
        }
        let new = self.dispatcher.unrecorded_executors(30);
        let records = new
            .iter()
            .map(|(_, record)| (record.id.clone(), record.clone()));
        self.executor_records.extend(records);
        self.dispatcher.executors_recorded(&new);
        let gone = self.dispatcher.take_departed_executors(30, self.now);
        for id in gone {
            // Listed again at once, because a later owner would not assign a slot to an executor that is forgotten.
            let i = self
                .executors
                .iter()
                .position(|e| e.entry().id == id)
                .unwrap();
            self.unlisted.remove(&i);
            self.executor_records.remove(&id);
            self.dispatcher.observe(self.executors[i].entry(), self.now);
        }
    }

    fn record_lane(&mut self, lane: RecordLane) {
        let batch = self.dispatcher.take_records(lane, 30);
        let jobs: Vec<_> = batch.iter().map(|(id, number, _)| (*id, *number)).collect();
        if !self.fault_free && self.rng.random_bool(0.2) {
            self.dispatcher.not_recorded(&jobs);
            return;
        }
        for (id, _, progress) in batch {
            let stored = serde_json::to_vec(&progress).unwrap();
            self.progress
                .insert(id, serde_json::from_slice(&stored).unwrap());
        }
        self.dispatcher.recorded(&jobs);
    }
}
