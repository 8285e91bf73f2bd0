use std::net::SocketAddr;

use lagoon_core::{Refusal, RefusalClass, ResultCode};

use crate::forward::{CallOutcome, RetryPolicy};

/// Decision after a call.
#[derive(Debug)]
pub(crate) enum RetryDecision<R> {
    /// Return this result to the caller.
    Done(Result<R, Refusal>),
    /// Retry, at `owner` if it is known. Return the refusal if the request times out first.
    Retry {
        owner: Option<SocketAddr>,
        last_refusal: Refusal,
    },
}

impl<R> RetryDecision<R> {
    /// Decides whether to retry; `lost` tells whether the response of this or an earlier call was lost.
    ///
    /// A lost call may have taken effect. From then on only the owner can say that the work did not run, and all
    /// refusals by the gateway itself have class `not_known`.
    pub(crate) fn decide(outcome: CallOutcome<R>, retry_policy: RetryPolicy, lost: bool) -> Self {
        match outcome {
            CallOutcome::Answered(response) => Self::Done(Ok(response)),
            CallOutcome::Refused(refusal, owner) if is_owner_changing(refusal.code) => {
                Self::Retry {
                    owner,
                    last_refusal: if lost { response_lost() } else { refusal },
                }
            }
            CallOutcome::Refused(refusal, _)
                if lost && refusal.class() == RefusalClass::Elsewhere =>
            {
                Self::Done(Err(response_lost()))
            }
            CallOutcome::Refused(refusal, _) => Self::Done(Err(refusal)),
            CallOutcome::NotSent => Self::Retry {
                owner: None,
                last_refusal: if lost {
                    response_lost()
                } else {
                    owner_unreachable()
                },
            },
            CallOutcome::Lost if retry_policy == RetryPolicy::Idempotent => Self::Retry {
                owner: None,
                last_refusal: response_lost(),
            },
            CallOutcome::Lost => Self::Done(Err(response_lost())),
        }
    }
}

/// Returns true if the shard's owner is changing, so that a retry will find the shard served again.
fn is_owner_changing(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::NotOwner
            | ResultCode::NotServing
            | ResultCode::HandingOver
            | ResultCode::Draining
    )
}

fn response_lost() -> Refusal {
    let message =
        "connection to the scheduler lost after the request was sent; it may have taken effect";
    Refusal::new(ResultCode::AnswerLost, message)
}

fn owner_unreachable() -> Refusal {
    let message = "the owner of the shard is unreachable";
    Refusal::new(ResultCode::NotServing, message)
}
