//! Hosts that an operator confirms dead.

use crate::code::{Refusal, ResultCode};
use crate::id::{HostId, WorkerId};
use crate::journal::JournalEntry;
use crate::shard::commit::PendingEntry;
use crate::shard::{Effect, Shard};
use crate::unit::Timestamp;

impl Shard {
    /// Marks a host as dead on an operator's confirmation that nothing runs there any more. Returns the number of
    /// affected workers.
    ///
    /// # Errors
    ///
    /// Refused if the host is unknown, or if the lease on one of its workers is still valid.
    pub fn confirm_dead(&mut self, host: &HostId, now: Timestamp) -> Result<usize, Refusal> {
        let of_host = self
            .workers
            .values()
            .filter(|worker_record| worker_record.host == *host);
        let workers: Vec<WorkerId> = of_host
            .map(|worker_record| worker_record.worker.clone())
            .collect();
        if workers
            .iter()
            .any(|worker| self.may_use_worker(worker, now))
        {
            let text = format!(
                "host {host} can't be confirmed dead: the lease on one of its workers is still valid"
            );
            return Err(Refusal::new(ResultCode::InvalidValue, text));
        }
        let used = self.journal.state().workers().iter();
        let used =
            used.filter(|(worker, used)| used.host == *host && self.unfenced.contains_key(*worker));
        let unfenced: Vec<WorkerId> = used.map(|(worker, _)| worker.clone()).collect();
        let used = self.journal.state().workers().iter();
        let borrowed = used.filter(|(worker, used)| {
            let known = self.workers.contains_key(*worker) || self.unfenced.contains_key(*worker);
            used.host == *host && !known
        });
        let borrowed: Vec<WorkerId> = borrowed.map(|(worker, _)| worker.clone()).collect();
        if workers.is_empty() && unfenced.is_empty() && borrowed.is_empty() {
            return Err(Refusal::new(
                ResultCode::UnknownHost,
                format!("host {host} is not known"),
            ));
        }
        let appended = self
            .journal
            .append(JournalEntry::HostDead { host: host.clone() })?;
        self.uncommitted.push_back((appended, PendingEntry::Other));
        self.effects.push(Effect::Commit);
        for worker in &workers {
            self.mark_tasks_lost(worker, now);
        }
        for worker in &borrowed {
            self.mark_borrowed_tasks_lost(worker, now);
        }
        for worker in &unfenced {
            self.inherited_tasks_lost = true;
            self.mark_fenced(worker, now);
        }
        self.schedule(now);
        Ok(workers.len().max(unfenced.len() + borrowed.len()))
    }
}
