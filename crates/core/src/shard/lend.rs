//! Capacity lent for tasks of gang jobs whose home is another shard.
//!
//! Only the lease holder of a worker accounts for its capacity and starts tasks there. So a borrower reserves capacity,
//! and the lender starts the tasks when the borrower commits. From then on the borrower polls, stops and acknowledges
//! its tasks at the worker directly. If one side fails:
//!
//! - The borrower dies before the commit: the reservation expires.
//! - The borrower dies after the commit: its successor fences the worker, which is in its journal, and finds the task.
//!   A start that is still in flight carries the earlier epoch, and the worker refuses it.
//! - The lender dies before the commit, or restarts: it does not know the reservation and refuses the commit, and the
//!   borrower stops every task.
//! - The lender dies after the commit: a task that was not started never will be. The borrower misses it in the
//!   worker's list, stops it there, which also prevents a late start, and stops the other tasks.
//! - The response to a commit is lost: the borrower treats it as a refusal and stops every task at its worker.

use smallvec::SmallVec;

use crate::code::{Refusal, ResultCode};
use crate::id::{Epoch, ShardId, TaskId, WorkerId};
use crate::shard::reservation::Reservation;
use crate::shard::{Borrower, Effect, ReservationId, Shard, StartResult, TaskPhase};
use crate::unit::{Millis, Resources, Timestamp};
use crate::work::{PlacementPolicy, WorkSpec};

/// Upper bound on the time for which capacity is reserved.
const MAX_RESERVATION_TTL: Millis = Millis::new(30_000);

impl Shard {
    /// Reserves capacity for up to `count` tasks, as many as fit, for the time `ttl`.
    ///
    /// # Errors
    ///
    /// Refused while the shard is not serving, for an earlier epoch of the borrower, and if no task fits.
    pub fn reserve(
        &mut self,
        borrower: Borrower,
        count: u32,
        need: Resources,
        placement: &PlacementPolicy,
        ttl: Millis,
        now: Timestamp,
    ) -> Result<(ReservationId, SmallVec<[WorkerId; 8]>), Refusal> {
        self.check_accepting()?;
        self.check_borrower_epoch(&borrower)?;
        let workers = match need == Resources::ZERO {
            true => SmallVec::new(),
            false => self.place_up_to(count, &need, placement),
        };
        if workers.is_empty() {
            let text = format!(
                "shard {}: no worker has enough free capacity for a task now",
                self.config.shard
            );
            return Err(Refusal::new(ResultCode::ReservationRefused, text));
        }
        let id = ReservationId::new(self.epoch, self.next_reservation);
        self.next_reservation = self.next_reservation.next();
        let reservation = Reservation {
            borrower,
            need,
            workers: workers.clone(),
            expires: now.after(ttl.min(MAX_RESERVATION_TTL)),
            tasks: None,
        };
        self.reservations.insert(id, reservation);
        Ok((id, workers))
    }

    /// Starts the reserved tasks, given in the order of their workers. A repeat changes nothing.
    ///
    /// # Errors
    ///
    /// Refused if the reservation is unknown, has expired or belongs to another borrower: then nothing was or will be
    /// started under it.
    pub fn commit_reservation(
        &mut self,
        id: ReservationId,
        borrower: &Borrower,
        tasks: Vec<TaskId>,
        spec: WorkSpec,
    ) -> Result<(), Refusal> {
        let refuse = |text: &str| {
            let text = format!("reservation {id}: {text}");
            Err(Refusal::new(ResultCode::ReservationRefused, text))
        };
        self.check_accepting()?;
        self.check_borrower_epoch(borrower)?;
        let Some(reservation) = self.reservations.get_mut(&id) else {
            return refuse("unknown or expired");
        };
        if let Some(known) = &reservation.tasks {
            return match *known == tasks {
                true => Ok(()),
                false => refuse("already committed for other tasks"),
            };
        }
        let own = |task: &TaskId| *task.work().shard() == borrower.shard;
        if reservation.borrower != *borrower
            || reservation.workers.len() != tasks.len()
            || reservation.need != spec.resources
            || !tasks.iter().all(own)
        {
            return refuse("does not match the borrower, the number of tasks or their resources");
        }
        reservation.tasks = Some(tasks.clone());
        let workers = reservation.workers.clone();
        let spec = std::sync::Arc::new(spec);
        for (worker, task) in workers.into_iter().zip(tasks) {
            if let Some(worker_record) = self.workers.get_mut(&worker) {
                worker_record
                    .allocations
                    .insert(task.clone(), spec.resources);
            }
            self.effects.push(Effect::StartForBorrower {
                borrower: borrower.clone(),
                worker,
                task,
                spec: spec.clone(),
            });
        }
        Ok(())
    }

    /// Releases a reservation. An unknown one is no error, because it may have expired.
    ///
    /// # Errors
    ///
    /// Refused if it was committed.
    pub fn release_reservation(
        &mut self,
        id: ReservationId,
        borrower: &Borrower,
        now: Timestamp,
    ) -> Result<(), Refusal> {
        let Some(reservation) = self.reservations.get(&id) else {
            return Ok(());
        };
        if reservation.tasks.is_some() || reservation.borrower != *borrower {
            let text = format!("reservation {id} is committed or belongs to another borrower");
            return Err(Refusal::new(ResultCode::ReservationRefused, text));
        }
        self.drop_reservation(id);
        self.schedule(now);
        Ok(())
    }

    /// Applies the result of a start for a borrower. The borrower itself learns of it from the worker.
    pub fn on_lent_start(
        &mut self,
        worker: &WorkerId,
        task: &TaskId,
        result: StartResult,
        now: Timestamp,
    ) {
        match result {
            StartResult::Known(TaskPhase::Running) => {}
            // The next full inventory shows whether it runs.
            StartResult::Unknown => self.request_full_inventory(worker),
            StartResult::DoesNotFit => {
                self.request_full_inventory(worker);
                self.release_allocation(worker, task);
            }
            StartResult::LeaseLost => {
                self.lease_refused(worker);
                self.release_allocation(worker, task);
            }
            _ => self.release_allocation(worker, task),
        }
        self.schedule(now);
    }

    /// Drops expired reservations and frees the capacity of those that were not committed.
    pub(super) fn expire_reservations(&mut self, now: Timestamp) {
        let expired = self.reservations.iter();
        let expired = expired.filter(|(_, reservation)| reservation.expires <= now);
        let expired: Vec<ReservationId> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.drop_reservation(id);
        }
    }

    /// Returns the other shards that have tasks on a worker, so that the lease holder renews those tasks.
    pub fn borrowers_on(&self, worker: &WorkerId) -> Vec<ShardId> {
        let worker_record = self.workers.get(worker);
        let tasks = worker_record
            .into_iter()
            .flat_map(|worker_record| worker_record.allocations.keys());
        let foreign = tasks.map(|task| task.work().shard());
        let mut shards: Vec<ShardId> = foreign
            .filter(|shard| **shard != self.config.shard)
            .cloned()
            .collect();
        shards.sort_unstable();
        shards.dedup();
        shards
    }

    fn drop_reservation(&mut self, id: ReservationId) {
        if let Some(reservation) = self.reservations.remove(&id)
            && reservation.tasks.is_none()
        {
            self.release_all(&reservation.workers, reservation.need);
            self.on_capacity_freed();
        }
    }

    /// Refuses an earlier owner of the borrower. On a higher epoch, frees what earlier owners reserved.
    fn check_borrower_epoch(&mut self, borrower: &Borrower) -> Result<(), Refusal> {
        let known = self.borrowers.entry(borrower.shard.clone());
        let known: &mut Epoch = known.or_insert(borrower.epoch);
        if borrower.epoch < *known {
            let text = format!(
                "shard {} has a later owner, at epoch {known}",
                borrower.shard
            );
            return Err(Refusal::new(ResultCode::ReservationRefused, text));
        }
        if std::mem::replace(known, borrower.epoch) < borrower.epoch {
            let reservations = self.reservations.iter();
            let outdated = reservations.filter(|(_, reservation)| {
                let reserved_for = &reservation.borrower;
                reserved_for.shard == borrower.shard && reserved_for.epoch < borrower.epoch
            });
            let outdated: Vec<ReservationId> = outdated.map(|(id, _)| *id).collect();
            for id in outdated {
                self.drop_reservation(id);
            }
        }
        Ok(())
    }
}
