use std::error::Error;
use std::net::SocketAddr;

use lagoon_core::Refusal;
use lagoon_wire::{convert, v1};
use tonic::{ConnectError, Status};

/// What became of one call.
#[derive(Debug)]
pub(crate) enum CallOutcome<R> {
    /// Answered whole.
    Answered(R),
    /// Refused by the scheduler, which may have named the owner.
    Refused(Refusal, Option<SocketAddr>),
    /// Never left this process, so it certainly had no effect.
    NotSent,
    /// Sent, but no answer came back.
    Lost,
}

impl<R> CallOutcome<R> {
    pub(crate) fn from_result(result: Result<Result<R, v1::Refusal>, Status>) -> Self {
        match result {
            Ok(Ok(response)) => Self::Answered(response),
            Ok(Err(refusal)) => {
                let owner = refusal.owner_address.parse().ok();
                Self::Refused(convert::refusal_from_wire(&refusal), owner)
            }
            Err(status) if is_connect_error(&status) => Self::NotSent,
            Err(status) => {
                tracing::debug!("gateway: the answer of a scheduler was lost: {status}");
                Self::Lost
            }
        }
    }
}

/// Tells whether the connection could not be opened. Any other transport error may come after the request was sent.
fn is_connect_error(status: &Status) -> bool {
    let mut cause: Option<&(dyn Error + 'static)> = status.source();
    while let Some(error) = cause {
        if error.is::<ConnectError>() {
            return true;
        }
        cause = error.source();
    }
    false
}
