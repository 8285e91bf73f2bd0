use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id::{
    CallerId, CommandId, FailureDomain, HostId, Incarnation, RequestKey, WorkId, WorkerId,
};
use crate::journal::EndedWork;
use crate::unit::Timestamp;
use crate::work::{Outcome, WorkSpec};

/// One durable fact about a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalEntry {
    /// Work was accepted.
    Accepted {
        /// Work.
        work: WorkId,
        /// Key under which the caller may repeat the request.
        key: Option<RequestKey>,
        /// Fingerprint of the request, to recognise another request under the same key.
        fingerprint: u64,
        /// Specification.
        spec: Arc<WorkSpec>,
        /// When the work was accepted.
        accepted_at: Timestamp,
    },
    /// Work ended; a cancellation ends with a refusal.
    Ended {
        /// Work.
        work: WorkId,
        /// How it ended.
        outcome: Outcome,
        /// When it ended.
        at: Timestamp,
    },
    /// Work that ended earlier, as a snapshot keeps it.
    Kept {
        /// Work.
        work: WorkId,
        /// What is kept about it.
        ended: EndedWork,
    },
    /// An operator keeps the work back.
    Held {
        /// Work.
        work: WorkId,
    },
    /// An operator released the work.
    Released {
        /// Work.
        work: WorkId,
    },
    /// A start of the work was lost with its host, and the work waits for another one.
    Restarted {
        /// Work.
        work: WorkId,
    },
    /// The work was given to another failure domain.
    Delegated {
        /// Work.
        work: WorkId,
        /// Failure domain that may run it.
        domain: FailureDomain,
    },
    /// The work was taken back, not started.
    TakenBack {
        /// Work.
        work: WorkId,
    },
    /// The shard uses a worker, so a successor must ask it before it starts inherited work again.
    WorkerUsed {
        /// Worker.
        worker: WorkerId,
        /// Its host.
        host: HostId,
        /// Its address.
        address: String,
        /// Its run; a later one has lost the tasks of this one.
        incarnation: Incarnation,
    },
    /// Nothing of the shard can run on the worker any more.
    WorkerReleased {
        /// Worker.
        worker: WorkerId,
    },
    /// An entry that was withdrawn before it was written.
    Withdrawn,
    /// An operator confirmed that a host is dead.
    HostDead {
        /// Host.
        host: HostId,
    },
    /// An operator's command, for the audit trail.
    Command {
        /// Command.
        command: CommandId,
        /// Who gave it.
        caller: CallerId,
        /// Its text.
        text: String,
        /// Its result.
        result: String,
        /// When it was given.
        at: Timestamp,
    },
}
