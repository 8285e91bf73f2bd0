use lagoon_core::id::CommandId;
use lagoon_core::{Refusal, ResultCode};
use tokio::sync::{mpsc, oneshot};

use crate::audit::{Append, Record};

/// Calls that may wait for the task that owns the trail.
const QUEUE: usize = 1_024;

/// What the owner of the trail is asked for.
#[derive(Debug)]
pub(super) enum Call {
    Append(Box<Append>),
    Find(CommandId, oneshot::Sender<Found>),
    All(oneshot::Sender<(Vec<Record>, bool)>),
}

/// Latest record of a command.
#[derive(Debug)]
pub(crate) struct Found {
    pub(crate) record: Option<Record>,
    /// False if the store did not answer, so that only earlier records of this process are known.
    pub(crate) fresh: bool,
}

/// Handle to the audit trail.
#[derive(Debug, Clone)]
pub(crate) struct AuditLog {
    tx: mpsc::Sender<Call>,
}

impl AuditLog {
    pub(super) fn new() -> (Self, mpsc::Receiver<Call>) {
        let (tx, rx) = mpsc::channel(QUEUE);
        (Self { tx }, rx)
    }

    /// Returns the latest record of a command.
    pub(crate) async fn find(&self, command: &CommandId) -> Result<Found, Refusal> {
        let (tx, rx) = oneshot::channel();
        self.send(Call::Find(command.clone(), tx), rx).await
    }

    /// Returns the latest record of every command, and whether the store answered.
    pub(crate) async fn all(&self) -> Result<(Vec<Record>, bool), Refusal> {
        let (tx, rx) = oneshot::channel();
        self.send(Call::All(tx), rx).await
    }

    /// Writes a record before something takes effect.
    ///
    /// # Errors
    ///
    /// `store_unavailable`, or `version_conflict` if the command has another record than `after` by now.
    pub(crate) async fn begin(&self, record: Record, after: Option<Record>) -> Result<(), Refusal> {
        self.append(record, Some(after)).await?.map(|_| ())
    }

    /// Writes a record of something that took effect; false if it waits for the store.
    pub(crate) async fn note(&self, record: Record) -> bool {
        let written = self.append(record, None).await;
        matches!(written, Ok(Ok(true)))
    }

    async fn append(
        &self,
        record: Record,
        after: Option<Option<Record>>,
    ) -> Result<Result<bool, Refusal>, Refusal> {
        let (tx, rx) = oneshot::channel();
        let append = Append {
            record,
            after,
            reply: Some(tx),
        };
        self.send(Call::Append(Box::new(append)), rx).await
    }

    async fn send<T>(&self, call: Call, answer: oneshot::Receiver<T>) -> Result<T, Refusal> {
        let stopping = || Refusal::new(ResultCode::Draining, "the process is stopping");
        self.tx.send(call).await.map_err(|_| stopping())?;
        answer.await.map_err(|_| stopping())
    }
}
