use tokio::time::Instant;

use crate::transport::HeldBack;
use crate::transport::not_admitted::NotAdmitted;

/// Which new connections to a server are admitted.
#[derive(Debug, Clone, Copy)]
pub struct Admission {
    /// Connections that were begun earlier are refused, because the calls for them were decided for another process.
    pub begun_after: Instant,
    /// Connections that were established later stay held back.
    pub established_before: Instant,
}

impl Admission {
    /// Returns the decision about a connection; `None` if it stays held back.
    pub(crate) fn decide(&self, connection: &HeldBack) -> Option<Result<(), NotAdmitted>> {
        if connection.begun_at < self.begun_after {
            return Some(Err(NotAdmitted));
        }
        (connection.established_at < self.established_before).then_some(Ok(()))
    }
}
