use std::net::SocketAddr;

use lagoon_core::{Refusal, RefusalClass, ResultCode};

use crate::forward::{CallOutcome, RetryPolicy};

/// What follows an attempt.
#[derive(Debug)]
pub(crate) enum RetryDecision<R> {
    /// The caller gets this.
    Done(Result<R, Refusal>),
    /// Try again, at `owner` if it is known. The refusal holds if the time runs out first.
    Retry {
        owner: Option<SocketAddr>,
        last_refusal: Refusal,
    },
}

impl<R> RetryDecision<R> {
    /// Decides after an attempt; `lost` tells whether an earlier one was lost.
    ///
    /// Once a call was lost, only an answer of the owner may say that the work did not run: the lost call may still have
    /// had its effect, so what the gateway says by itself is "not known" from then on.
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

/// Tells whether the shard is on its way to another owner, so that a retry finds it served again.
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
    let message = "the connection to the scheduler was lost after the request was sent";
    Refusal::new(ResultCode::AnswerLost, message)
}

fn owner_unreachable() -> Refusal {
    let message = "the owner of the shard can't be reached";
    Refusal::new(ResultCode::NotServing, message)
}
