//! Readiness and graceful stop.

use std::time::Duration;

use crate::fake_scheduler::{FakeScheduler, Reply};
use crate::harness::{REQUEST, send, start, start_ready};

/// Guards against a gateway that is ready before a policy is known.
#[tokio::test]
async fn not_ready_without_policy() {
    let fake = FakeScheduler::start("s1");
    fake.claim("cluj:0", 1);
    fake.with(|state| state.policy = 0);
    let gateway = start(&[&fake], "").await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert_eq!(
        gateway.readiness().reason().unwrap(),
        "no policy version is known"
    );
    let (status, _) = send(gateway.address(), "GET", "/readyz", &[], "").await;
    assert_eq!(status, 503);
    let (status, _) = send(gateway.address(), "GET", "/healthz", &[], "").await;
    assert_eq!(status, 200);
    fake.with(|state| state.policy = 3);
    gateway.readiness().wait().await;
    gateway.stop().await;
}

/// Guards against a gateway that stays ready after its last scheduler went down.
#[tokio::test]
async fn not_ready_after_the_scheduler_died() {
    let mut fake = FakeScheduler::start("s1");
    fake.claim("cluj:0", 1);
    let gateway = start_ready(&[&fake], "").await;
    fake.kill();
    for _ in 0..100 {
        if !gateway.readiness().is_ready() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(!gateway.readiness().is_ready());
    gateway.stop().await;
}

/// Guards against gateways with different numbers of shards, which send a key to different shards.
#[tokio::test]
async fn not_ready_with_too_few_shards() {
    let fake = FakeScheduler::start("s1");
    fake.claim("cluj:1", 1);
    let gateway = start(&[&fake], "").await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert!(
        gateway
            .readiness()
            .reason()
            .unwrap()
            .contains("more shards")
    );
    gateway.stop().await;
}

/// Guards against a stop that interrupts a request in flight, and against one that is not announced to the scheduler.
#[tokio::test]
async fn stop_lets_requests_finish() {
    let fake = FakeScheduler::start("s1");
    fake.claim("cluj:0", 1);
    fake.reply(&[Reply::AnswerAfter(Duration::from_millis(700))]);
    let gateway = start_ready(&[&fake], "").await;
    let address = gateway.address();
    let readiness = gateway.readiness().clone();
    let request = tokio::spawn(send(address, "POST", "/v1/requests", &[], REQUEST));
    while fake.calls().is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(gateway.stop().await);
    assert_eq!(readiness.reason().unwrap(), "stopping");
    let (status, answer) = request.await.unwrap();
    assert_eq!((status, &answer["answer"]), (200, &"hello".into()));
    assert!(fake.with(|state| state.leaving));
    assert!(tokio::net::TcpStream::connect(address).await.is_err());
}
