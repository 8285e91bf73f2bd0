use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id::{
    CallerId, CommandId, FailureDomain, HostId, Incarnation, RequestKey, WorkId, WorkerId,
};
use crate::journal::EndedWork;
use crate::unit::Timestamp;
use crate::work::{Outcome, WorkSpec};

/// A durable change to the state of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalEntry {
    /// Work was accepted.
    Accepted {
        /// Id of the work.
        work: WorkId,
        /// Idempotency key of the request.
        key: Option<RequestKey>,
        /// Fingerprint of the request, to detect another request with the same key.
        fingerprint: u64,
        /// Specification of the work.
        spec: Arc<WorkSpec>,
        /// When the work was accepted.
        accepted_at: Timestamp,
    },
    /// Work ended. Cancelled work ends with a refusal.
    Ended {
        /// Id of the work.
        work: WorkId,
        /// How it ended.
        outcome: Outcome,
        /// When it ended.
        at: Timestamp,
    },
    /// Work that ended earlier and is retained. Written only in snapshots.
    Kept {
        /// Id of the work.
        work: WorkId,
        /// Record of the ended work.
        ended: EndedWork,
    },
    /// An operator holds the work back.
    Held {
        /// Id of the work.
        work: WorkId,
    },
    /// An operator released held work.
    Released {
        /// Id of the work.
        work: WorkId,
    },
    /// An attempt to run the work was lost with its host, and the work is queued for another one.
    Restarted {
        /// Id of the work.
        work: WorkId,
    },
    /// The work was delegated to another failure domain.
    Delegated {
        /// Id of the work.
        work: WorkId,
        /// Failure domain that may run it.
        domain: FailureDomain,
    },
    /// The work was taken back before the other failure domain started it.
    TakenBack {
        /// Id of the work.
        work: WorkId,
    },
    /// The shard uses a worker. The next owner must query the worker before it starts inherited work again.
    WorkerUsed {
        /// Id of the worker.
        worker: WorkerId,
        /// Host of the worker.
        host: HostId,
        /// Address of the worker.
        address: String,
        /// Incarnation of the worker. A later incarnation has lost the tasks of this one.
        incarnation: Incarnation,
    },
    /// No task of the shard can run on the worker any more.
    WorkerReleased {
        /// Id of the worker.
        worker: WorkerId,
    },
    /// Placeholder for an entry that was withdrawn before it was written.
    Withdrawn,
    /// An operator confirmed that a host is dead.
    HostDead {
        /// Id of the host.
        host: HostId,
    },
    /// An operator command, for the audit trail.
    Command {
        /// Id of the command.
        command: CommandId,
        /// Operator who issued it.
        caller: CallerId,
        /// Text of the command.
        text: String,
        /// Result of the command.
        result: String,
        /// When it was issued.
        at: Timestamp,
    },
}
