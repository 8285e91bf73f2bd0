//! Conversions between the types of the platform and those of a shard.

use lagoon_core::shard::{ExecutorSpec, HeartbeatReport, TaskPhase, TaskReport, WorkerSpec};
use lagoon_core::unit::Timestamp;
use lagoon_platform::hosts::HostEntry;
use lagoon_platform::worker::{self, LeaseResponse, TaskState};

use crate::settings::LeaseSettings;

pub(crate) fn task_phase(state: TaskState) -> TaskPhase {
    match state {
        TaskState::Running => TaskPhase::Running,
        TaskState::Succeeded { output } => TaskPhase::Succeeded(output),
        TaskState::Failed { error } => TaskPhase::Failed(error),
        TaskState::Stopped { started } => TaskPhase::Stopped { started },
    }
}

pub(crate) fn task_report(report: worker::TaskReport) -> TaskReport {
    TaskReport {
        task: report.task,
        shard: report.shard,
        shard_epoch: report.shard_epoch,
        resources: report.resources,
        phase: task_phase(report.state),
        observed: report.observed,
    }
}

pub(crate) fn heartbeat_report(
    response: LeaseResponse,
    sent_at: Timestamp,
    lease: &LeaseSettings,
) -> HeartbeatReport {
    HeartbeatReport {
        sent_at,
        epoch: response.epoch,
        incarnation: response.incarnation,
        rack: response.rack,
        capacity: response.capacity,
        ttl: lease.ttl,
        task_ttl: lease.task_ttl,
        full: response.inventory.full,
        sequence: response.inventory.sequence,
        tasks: response
            .inventory
            .tasks
            .into_iter()
            .map(task_report)
            .collect(),
        forgotten: response.inventory.forgotten,
        observed: response.usage.observed,
    }
}

pub(crate) fn worker_spec(entry: &HostEntry) -> Option<WorkerSpec> {
    let worker = entry.worker.as_ref()?;
    let executors = entry.executors.iter().map(|executor| ExecutorSpec {
        executor: executor.executor.clone(),
        service: executor.service.clone(),
        slots: executor.slots,
        connections: executor.connections,
    });
    Some(WorkerSpec {
        worker: worker.worker.clone(),
        host: entry.host.clone(),
        address: worker.address.to_string(),
        rack: entry.rack.clone(),
        capacity: worker.capacity,
        executors: executors.collect(),
    })
}
