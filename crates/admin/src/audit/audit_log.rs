use lagoon_core::id::CommandId;
use lagoon_core::{Refusal, ResultCode};
use tokio::sync::{mpsc, oneshot};

use crate::audit::{AppendRequest, Record};

/// Maximum number of requests queued for the writer task.
const REQUEST_QUEUE_CAPACITY: usize = 1_024;

/// Request to the writer task.
#[derive(Debug)]
pub(super) enum AuditRequest {
    Append(Box<AppendRequest>),
    Find(CommandId, oneshot::Sender<RecordLookup>),
    LatestRecords(oneshot::Sender<(Vec<Record>, bool)>),
}

/// Latest record of a command, if there is one.
#[derive(Debug)]
pub(crate) struct RecordLookup {
    pub(crate) record: Option<Record>,
    /// False if the store was unavailable, so that records of other processes may be missing.
    pub(crate) fresh: bool,
}

/// Handle to the audit trail; sends requests to the writer task.
#[derive(Debug, Clone)]
pub(crate) struct AuditLog {
    tx: mpsc::Sender<AuditRequest>,
}

impl AuditLog {
    pub(super) fn new() -> (Self, mpsc::Receiver<AuditRequest>) {
        let (tx, rx) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
        (Self { tx }, rx)
    }

    /// Returns the latest record of a command.
    pub(crate) async fn find(&self, command: &CommandId) -> Result<RecordLookup, Refusal> {
        let (tx, rx) = oneshot::channel();
        self.send(AuditRequest::Find(command.clone(), tx), rx).await
    }

    /// Returns the latest record of every command, and whether the trail was up to date with the store.
    pub(crate) async fn latest_records(&self) -> Result<(Vec<Record>, bool), Refusal> {
        let (tx, rx) = oneshot::channel();
        self.send(AuditRequest::LatestRecords(tx), rx).await
    }

    /// Writes the record of a command that has not taken effect yet.
    ///
    /// # Errors
    ///
    /// Returns `store_unavailable`, or `version_conflict` if `after` is not the latest record of the command.
    pub(crate) async fn record_intent(
        &self,
        record: Record,
        after: Option<Record>,
    ) -> Result<(), Refusal> {
        self.append(record, Some(after)).await?.map(|_| ())
    }

    /// Writes the record of a command's result. Returns false if the record is still waiting for the store.
    pub(crate) async fn record_result(&self, record: Record) -> bool {
        let written = self.append(record, None).await;
        matches!(written, Ok(Ok(true)))
    }

    async fn append(
        &self,
        record: Record,
        after: Option<Option<Record>>,
    ) -> Result<Result<bool, Refusal>, Refusal> {
        let (tx, rx) = oneshot::channel();
        let append = AppendRequest {
            record,
            after,
            reply: Some(tx),
        };
        self.send(AuditRequest::Append(Box::new(append)), rx).await
    }

    async fn send<T>(&self, req: AuditRequest, answer: oneshot::Receiver<T>) -> Result<T, Refusal> {
        let stopping = || Refusal::new(ResultCode::Draining, "the process is stopping");
        self.tx.send(req).await.map_err(|_| stopping())?;
        answer.await.map_err(|_| stopping())
    }
}
