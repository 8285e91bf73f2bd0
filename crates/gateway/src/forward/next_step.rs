use std::net::SocketAddr;

use lagoon_core::{Refusal, RefusalClass, ResultCode};

use crate::forward::{Attempt, Repeat};

/// What follows an attempt.
#[derive(Debug)]
pub(crate) enum NextStep<R> {
    /// The caller gets this.
    Answer(Result<R, Refusal>),
    /// Try again, at `owner` if it is known. The refusal holds if the time runs out first.
    Retry {
        owner: Option<SocketAddr>,
        last: Refusal,
    },
}

impl<R> NextStep<R> {
    /// Decides after an attempt; `lost` tells whether an earlier one was lost.
    ///
    /// Once a call was lost, only an answer of the owner may say that the work did not run: the lost call may still have
    /// had its effect, so what the gateway says by itself is "not known" from then on.
    pub(crate) fn after(attempt: Attempt<R>, repeat: Repeat, lost: bool) -> Self {
        match attempt {
            Attempt::Answered(answer) => Self::Answer(Ok(answer)),
            Attempt::Refused(refusal, owner) if is_moving(refusal.code) => Self::Retry {
                owner,
                last: if lost { answer_lost() } else { refusal },
            },
            Attempt::Refused(refusal, _) if lost && refusal.class() == RefusalClass::Elsewhere => {
                Self::Answer(Err(answer_lost()))
            }
            Attempt::Refused(refusal, _) => Self::Answer(Err(refusal)),
            Attempt::NotSent => Self::Retry {
                owner: None,
                last: if lost { answer_lost() } else { unreachable() },
            },
            Attempt::Lost if repeat == Repeat::Safe => Self::Retry {
                owner: None,
                last: answer_lost(),
            },
            Attempt::Lost => Self::Answer(Err(answer_lost())),
        }
    }
}

/// Tells whether the shard is on its way to another owner, so that a retry finds it served again.
fn is_moving(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::NotOwner
            | ResultCode::NotServing
            | ResultCode::HandingOver
            | ResultCode::Draining
    )
}

fn answer_lost() -> Refusal {
    let message = "the connection to the scheduler was lost after the request was sent";
    Refusal::new(ResultCode::AnswerLost, message)
}

fn unreachable() -> Refusal {
    let message = "the owner of the shard can't be reached";
    Refusal::new(ResultCode::NotServing, message)
}
