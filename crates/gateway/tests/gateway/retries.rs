//! The gateway retries only calls that had no effect and calls whose duplicates the owner detects.

use std::time::Duration;

use lagoon_core::ResultCode;

use crate::fake_scheduler::{FakeScheduler, Reply};
use crate::harness::{Answer, REQUEST, REQUEST_WITH_TICKET, run, send, start_ready};

async fn run_after_replies(replies: &[Reply], body: &'static str) -> (Answer, Vec<String>) {
    let fake = FakeScheduler::start("s1");
    fake.claim("cluj:0", 1);
    fake.reply(replies);
    let gateway = start_ready(&[&fake], "request_timeout: 700ms").await;
    let answer = run(&gateway, body).await;
    let calls = fake.calls();
    gateway.stop().await;
    (answer, calls)
}

macro_rules! repeated {
    ($($(#[$meta:meta])* $name:ident: $body:ident, [$($reply:expr),*] => $calls:literal calls, $expected:literal;)*) => {
        $(
            $(#[$meta])*
            #[tokio::test]
            async fn $name() {
                let ((_, answer), calls) = run_after_replies(&[$($reply),*], $body).await;
                let outcome = answer.get("outcome").or(answer.get("name")).unwrap();
                assert_eq!(outcome, $expected, "{answer}");
                assert_eq!(calls.len(), $calls, "{calls:?}");
            }
        )*
    };
}

use Reply::{AnswerAfter, LoseAnswer, Refuse};
const LATE_ANSWER: Reply = AnswerAfter(Duration::from_secs(5));

repeated! {
    /// Guards against a request that is sent twice without a failure.
    no_fault: REQUEST, [] => 1 calls, "succeeded";
    /// Guards against a request that fails during a takeover of its shard.
    shard_on_its_way: REQUEST, [Refuse(ResultCode::NotServing, None), Refuse(ResultCode::Draining, None)]
        => 3 calls, "succeeded";
    /// Guards against a request that runs twice after a lost connection.
    lost_without_ticket: REQUEST, [LoseAnswer] => 1 calls, "answer_lost";
    /// Guards against an error although the owner detects duplicates and still has the answer.
    lost_with_ticket: REQUEST_WITH_TICKET, [LoseAnswer] => 2 calls, "succeeded";
    /// Guards against a refusal of class `not_run` although the lost call may have taken effect.
    lost_then_refused: REQUEST_WITH_TICKET, [LoseAnswer, Refuse(ResultCode::TicketEpochLost, None)]
        => 2 calls, "ticket_epoch_lost";
    /// Guards against class `elsewhere` from an owner that doesn't know whether the lost call took effect.
    lost_then_stopped: REQUEST_WITH_TICKET, [LoseAnswer, Refuse(ResultCode::ShardStopped, None)]
        => 2 calls, "answer_lost";
    /// Guards against a retry after a final refusal.
    refused: REQUEST_WITH_TICKET, [Refuse(ResultCode::QuotaExceeded, None)] => 1 calls, "quota_exceeded";
    /// Guards against retries after a refusal that only the caller can resolve.
    too_many_tickets: REQUEST, [Refuse(ResultCode::TooManyTickets, None)] => 1 calls, "too_many_tickets";
    /// Guards against a timeout that is reported as `not_run`, and against a second run.
    late: REQUEST_WITH_TICKET, [LATE_ANSWER] => 1 calls, "answer_timeout";
}

/// Guards against class `elsewhere` after the response of an earlier call was lost, because that call may have taken
/// effect.
#[tokio::test]
async fn lost_then_elsewhere_until_the_end() {
    let mut replies = vec![LoseAnswer];
    replies.extend(std::iter::repeat_n(
        Refuse(ResultCode::NotServing, None),
        100,
    ));
    let ((_, answer), calls) = run_after_replies(&replies, REQUEST_WITH_TICKET).await;
    assert_eq!(answer["name"], "answer_lost");
    assert_eq!(answer["class"], "not_known");
    assert!(calls.len() > 2, "{calls:?}");
}

/// Guards against a retry at a stale route although the refusal named the new owner.
#[tokio::test]
async fn refusal_names_the_owner() {
    let (old, new) = (FakeScheduler::start("s1"), FakeScheduler::start("s2"));
    old.claim("cluj:0", 1);
    let owner = Some(new.address);
    old.reply(&[Refuse(ResultCode::NotOwner, owner)]);
    let gateway = start_ready(&[&old], "").await;
    let (_, answer) = run(&gateway, REQUEST_WITH_TICKET).await;
    assert_eq!(answer["outcome"], "succeeded", "{answer}");
    assert_eq!((old.calls().len(), new.calls().len()), (1, 1));
    gateway.stop().await;
}

/// Guards against requests that fail after the death of an owner although another process has taken over its shard.
#[tokio::test]
async fn owner_dies_and_a_successor_claims() {
    let (mut old, new) = (FakeScheduler::start("s1"), FakeScheduler::start("s2"));
    old.claim("cluj:0", 1);
    let gateway = start_ready(&[&old, &new], "").await;
    old.kill();
    let address = gateway.address();
    let request = tokio::spawn(send(address, "POST", "/v1/requests", &[], REQUEST));
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(new.calls(), [""; 0]);
    new.claim("cluj:0", 2);
    let (_, answer) = request.await.unwrap();
    assert_eq!(answer["outcome"], "succeeded", "{answer}");
    assert_eq!(new.calls().len(), 1);
    gateway.stop().await;
}

/// Guards against a second run after the connection was lost during a request.
#[tokio::test]
async fn owner_dies_in_the_middle_of_a_request() {
    let (mut old, new) = (FakeScheduler::start("s1"), FakeScheduler::start("s2"));
    old.claim("cluj:0", 1);
    old.reply(&[LATE_ANSWER]);
    let gateway = start_ready(&[&old, &new], "").await;
    let address = gateway.address();
    let request = tokio::spawn(send(address, "POST", "/v1/requests", &[], REQUEST));
    while old.calls().is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    new.claim("cluj:0", 2);
    old.kill();
    let (status, answer) = request.await.unwrap();
    assert_eq!((status, &answer["name"]), (502, &"answer_lost".into()));
    assert_eq!(new.calls(), [""; 0]);
    gateway.stop().await;
}

/// Guards against a route that returns to an owner of an earlier epoch, even if the newer owner does not respond.
#[tokio::test]
async fn lower_epoch_is_ignored() {
    let (old, mut new) = (FakeScheduler::start("s1"), FakeScheduler::start("s2"));
    new.claim("cluj:0", 7);
    let gateway = start_ready(&[&old, &new], "request_timeout: 700ms").await;
    old.claim("cluj:0", 6);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    for _ in 0..3 {
        run(&gateway, REQUEST).await;
    }
    assert_eq!((old.calls().len(), new.calls().len()), (0, 3));
    new.kill();
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let (_, answer) = run(&gateway, REQUEST_WITH_TICKET).await;
    assert_eq!(answer["name"], "not_serving", "{answer}");
    assert_eq!(old.calls(), [""; 0]);
    gateway.stop().await;
}
