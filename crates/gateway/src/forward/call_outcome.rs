use std::error::Error;
use std::net::SocketAddr;

use lagoon_core::Refusal;
use lagoon_wire::{convert, v1};
use tonic::{ConnectError, Status};

/// Outcome of one call to a scheduler.
#[derive(Debug)]
pub(crate) enum CallOutcome<R> {
    /// The scheduler answered.
    Answered(R),
    /// The scheduler refused the call, possibly with the address of the owner.
    Refused(Refusal, Option<SocketAddr>),
    /// The call was never sent, so it had no effect.
    NotSent,
    /// The call was sent, but its response was lost.
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
                tracing::debug!("gateway: call to a scheduler failed without a response: {status}");
                Self::Lost
            }
        }
    }
}

/// Returns true if the connection could not be opened. Any other transport error may occur after the request was sent.
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
