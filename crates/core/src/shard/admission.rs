//! Inputs of the admission check: queue lengths, usage and feasibility.

use crate::admission::{AdmissionView, Feasibility, QueueLoad};
use crate::shard::Shard;
use crate::unit::{Resources, Timestamp};
use crate::work::{WorkKind, WorkSpec};

impl Shard {
    pub(super) fn admission_view(&self, spec: &WorkSpec, now: Timestamp) -> AdmissionView {
        let waiting = |kind| (self.tasks.len_of(kind), self.tasks.bytes_of(kind));
        let service = spec.service.as_ref();
        let requests = service.and_then(|service| self.requests.get(service));
        let service_queued = requests.map_or(0, |queue| queue.len() as u64);
        let (batch, batch_bytes) = waiting(WorkKind::Batch);
        let (gang, gang_bytes) = waiting(WorkKind::Gang);
        let queues = self.requests.values();
        let request_bytes = queues.map(|queue| queue.bytes_of(WorkKind::Service));
        let request_bytes =
            request_bytes.fold(Default::default(), crate::unit::Bytes::saturating_add);
        let request_items = self.requests.values().map(|queue| queue.len() as u64).sum();
        let queue = QueueLoad::default()
            .with(WorkKind::Service, request_items, request_bytes)
            .with(WorkKind::Batch, batch, batch_bytes)
            .with(WorkKind::Gang, gang, gang_bytes);
        let queue_of_kind = match spec.kind {
            WorkKind::Service => requests,
            _ => Some(&self.tasks),
        };
        let count = |f: &dyn Fn(&crate::order::FairQueue) -> u64| queue_of_kind.map_or(0, f);
        AdmissionView {
            now,
            queue,
            team_queued: count(&|queue| queue.team_len(&spec.team)),
            team_usage: queue_of_kind
                .map_or(Resources::ZERO, |queue| queue.team_in_use(&spec.team)),
            service_queued,
            feasibility: self.feasibility(spec),
            entries_ahead: count(&|queue| {
                queue.entries_ahead(spec.kind, &spec.team, spec.priority)
            }),
            start_rate: match service {
                Some(service) => self.request_rates.get(service).and_then(|rate| rate.rate()),
                None => self.task_rate.rate(),
            },
        }
    }

    pub(super) fn feasibility(&self, spec: &WorkSpec) -> Feasibility {
        // While the shard has not heard from all of its workers, it must not refuse work as infeasible.
        let unknown = self.workers.is_empty()
            || self
                .workers
                .values()
                .any(|worker| worker.lease.epoch().is_none());
        match spec.kind {
            WorkKind::Service => Feasibility::Unknown,
            _ if self
                .fleet
                .can_ever_fit(spec.task_count, &spec.resources, &spec.placement) =>
            {
                Feasibility::Fits
            }
            _ if unknown || self.could_borrow(spec) => Feasibility::Unknown,
            _ => Feasibility::NeverFits,
        }
    }
}
