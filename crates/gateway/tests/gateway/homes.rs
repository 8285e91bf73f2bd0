//! The home shard of an idempotency key, which must be the same on all gateways.

use lagoon_core::ResultCode;
use serde_json::Value;

use crate::fake_scheduler::{FakeScheduler, Reply};
use crate::harness::{send, start_ready};

const KEY: &[&str] = &["idempotency-key: k1"];
const NO_DEFAULT: &str = "default_home: null";

/// Returns the body of a service request with `home`, unless that is empty.
fn request(home: &str) -> String {
    format!(r#"{{"service":"s","team":"a"{}}}"#, field(home))
}

/// Returns the body of a job with `home`, unless that is empty.
fn job(home: &str) -> String {
    let resources = r#"{"cpu":"500m","memory":"2GiB"}"#;
    let home = field(home);
    format!(r#"{{"kind":"batch","team":"a","run_ms":1000,"resources":{resources}{home}}}"#)
}

fn field(home: &str) -> String {
    match home {
        "" => String::new(),
        home => format!(r#","home":"{home}""#),
    }
}

/// Sends a request to a gateway of cluj with a scheduler in cluj and one in iasi. Returns the answer and the number of
/// calls to each scheduler.
async fn submit(
    settings: &str,
    path: &str,
    headers: &[&str],
    body: String,
) -> (Value, usize, usize) {
    let (own, other) = (
        FakeScheduler::start("s1"),
        FakeScheduler::start_in("s2", "iasi"),
    );
    own.claim("cluj:0", 1);
    other.claim("iasi:0", 1);
    let gateway = start_ready(&[&own, &other], settings).await;
    let (_, answer) = send(gateway.address(), "POST", path, headers, body).await;
    gateway.stop().await;
    (answer, own.calls().len(), other.calls().len())
}

macro_rules! sent_to {
    ($($(#[$meta:meta])* $name:ident: $settings:expr, $path:literal $headers:expr, $body:expr
        => $own:literal in cluj, $other:literal in iasi;)*) => {
        $(
            $(#[$meta])*
            #[tokio::test]
            async fn $name() {
                let (answer, own, other) = submit($settings, $path, $headers, $body).await;
                assert_eq!((own, other), ($own, $other), "{answer}");
                assert!(answer.get("code").is_none(), "{answer}");
            }
        )*
    };
}

sent_to! {
    /// Guards against a job that is sent to the gateway's failure domain instead of its home.
    job_with_home: "", "/v1/jobs" KEY, job("iasi") => 0 in cluj, 1 in iasi;
    /// Guards against a request that is sent to the gateway's failure domain instead of its home.
    request_with_home: "", "/v1/requests" KEY, request("iasi") => 0 in cluj, 1 in iasi;
    /// Guards against a default home that overrides the home in the body.
    body_wins: "default_home: iasi", "/v1/jobs" KEY, job("cluj") => 1 in cluj, 0 in iasi;
    /// Guards against a gateway that uses its own failure domain instead of the default home.
    default_of_the_settings: "default_home: iasi", "/v1/jobs" KEY, job("") => 0 in cluj, 1 in iasi;
    /// Guards against a default home that is required although the body names a home.
    no_default_needed: NO_DEFAULT, "/v1/requests" KEY, request("iasi") => 0 in cluj, 1 in iasi;
    /// Guards against a request without a key that is sent to another failure domain.
    neither_ticket_nor_key: "default_home: iasi", "/v1/requests" &[], request("") => 1 in cluj, 0 in iasi;
    /// Guards against a ticket that is sent to the default home instead of its shard.
    ticket: "default_home: iasi", "/v1/requests" &[],
        r#"{"service":"s","team":"a","ticket":"t:cluj:0:1:5"}"#.to_owned() => 1 in cluj, 0 in iasi;
}

macro_rules! refused {
    ($($(#[$meta:meta])* $name:ident: $settings:expr, $path:literal $headers:expr, $body:expr
        => $code:ident, $text:literal;)*) => {
        $(
            $(#[$meta])*
            #[tokio::test]
            async fn $name() {
                let (answer, own, other) = submit($settings, $path, $headers, $body).await;
                assert_eq!(answer["code"], ResultCode::$code.number(), "{answer}");
                assert!(answer["message"].as_str().unwrap().contains($text), "{answer}");
                assert_eq!((own, other), (0, 0));
            }
        )*
    };
}

refused! {
    /// Guards against a job that runs twice after a retry through another failure domain.
    job_without_any_home: NO_DEFAULT, "/v1/jobs" KEY, job("") => InvalidValue, "home: ";
    /// Guards against a request that runs twice after a retry through another failure domain.
    request_without_any_home: NO_DEFAULT, "/v1/requests" KEY, request("") => InvalidValue, "home: ";
    /// Guards against a home without a key, which would have no effect and is easily mistaken for a placement constraint.
    home_without_key: "", "/v1/requests" &[], request("iasi") => InvalidValue, "home: ";
    /// Guards against an invalid failure domain that is accepted.
    broken_home: "", "/v1/jobs" KEY, job("a b") => InvalidValue, "a b";
    /// Guards against a caller that waits for the whole request timeout for an unreachable failure domain.
    unknown_domain: "", "/v1/jobs" KEY, job("mars") => DomainUnreachable, "mars";
}

macro_rules! home_shards {
    ($($(#[$meta:meta])* $name:ident: $key:literal of $shards:literal => $work:literal;)*) => {
        $(
            $(#[$meta])*
            #[tokio::test]
            async fn $name() {
                let fake = FakeScheduler::start("s1");
                (0..$shards).for_each(|number| fake.claim(&format!("cluj:{number}"), 1));
                let settings = format!("shards: {}", $shards);
                let gateway = start_ready(&[&fake], &settings).await;
                let headers = [concat!("idempotency-key: ", $key)];
                let (_, answer) =
                    send(gateway.address(), "POST", "/v1/jobs", &headers, job("")).await;
                gateway.stop().await;
                assert_eq!(answer["work"], $work);
            }
        )*
    };
}

home_shards! {
    /// Guards against a new version that maps keys to other shards than earlier versions.
    key_of_four_shards: "k2" of 4 => "w:cluj:3:1:1";
    /// Guards against a hash function that depends on the machine or the toolchain.
    key_of_sixteen_shards: "crew-check-1" of 16 => "w:cluj:15:1:1";
}

/// Guards against a key that gateways of two failure domains send to different shards, with the default home or with the
/// same home in the body.
#[tokio::test]
async fn gateways_of_two_domains_choose_one_shard() {
    let (cluj, iasi) = (
        FakeScheduler::start("s1"),
        FakeScheduler::start_in("s2", "iasi"),
    );
    for number in 0..4 {
        cluj.claim(&format!("cluj:{number}"), 1);
        iasi.claim(&format!("iasi:{number}"), 1);
    }
    let settings = "shards: 4\ndefault_home: iasi";
    let first = start_ready(&[&cluj, &iasi], settings).await;
    let other_domain = format!("{settings}\nfailure_domain: iasi");
    let second = start_ready(&[&cluj, &iasi], &other_domain).await;
    for key in ["k1", "k2", "k3", "k4", "k5"] {
        let header = format!("idempotency-key: {key}");
        let mut works = Vec::new();
        for (gateway, home) in [(&first, ""), (&second, ""), (&first, "iasi")] {
            let address = gateway.address();
            let (_, answer) = send(address, "POST", "/v1/jobs", &[&header], job(home)).await;
            works.push(answer["work"].clone());
        }
        assert_eq!(works[0], works[1]);
        assert_eq!(works[0], works[2]);
    }
    assert_eq!((cluj.calls().len(), iasi.calls().len()), (0, 15));
    first.stop().await;
    second.stop().await;
}

/// Guards against a retry that is sent to another failure domain, or that waits for the whole request timeout, after its
/// home failure domain went down.
#[tokio::test]
async fn home_domain_dies() {
    let (own, mut other) = (
        FakeScheduler::start("s1"),
        FakeScheduler::start_in("s2", "iasi"),
    );
    own.claim("cluj:0", 1);
    other.claim("iasi:0", 1);
    let gateway = start_ready(&[&own, &other], "").await;
    let address = gateway.address();
    let (_, answer) = send(address, "POST", "/v1/jobs", KEY, job("iasi")).await;
    assert_eq!(answer["work"], "w:iasi:0:1:1", "{answer}");
    other.kill();
    // The response of a call that is sent before the gateway notices the closed connection is lost; later calls are not
    // sent.
    let (mut status, mut answer) = send(address, "POST", "/v1/jobs", KEY, job("iasi")).await;
    if answer["name"] == "answer_lost" {
        (status, answer) = send(address, "POST", "/v1/jobs", KEY, job("iasi")).await;
    }
    assert_eq!((status, &answer["code"]), (503, &4006.into()), "{answer}");
    assert_eq!(answer["class"], "elsewhere");
    assert_eq!(own.calls(), [""; 0]);
    gateway.stop().await;
}

/// Guards against class `elsewhere` for a call that was sent before its home failure domain went down.
#[tokio::test]
async fn home_domain_dies_after_the_call_was_lost() {
    let (own, mut other) = (
        FakeScheduler::start("s1"),
        FakeScheduler::start_in("s2", "iasi"),
    );
    own.claim("cluj:0", 1);
    other.claim("iasi:0", 1);
    other.reply(&[Reply::AnswerAfter(std::time::Duration::from_secs(60))]);
    let gateway = start_ready(&[&own, &other], "").await;
    let address = gateway.address();
    let call = tokio::spawn(send(address, "POST", "/v1/jobs", KEY, job("iasi")));
    while other.calls().is_empty() {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    other.kill();
    let (_, answer) = call.await.unwrap();
    assert_eq!(answer["name"], "answer_lost", "{answer}");
    gateway.stop().await;
}

/// Guards against a gateway with too low a number of shards, which sends keys to other shards than the other gateways.
#[tokio::test]
async fn home_domain_with_more_shards() {
    let (own, other) = (
        FakeScheduler::start("s1"),
        FakeScheduler::start_in("s2", "iasi"),
    );
    own.claim("cluj:0", 1);
    other.claim("iasi:1", 1);
    let gateway = start_ready(&[&own, &other], "request_timeout: 200ms").await;
    let address = gateway.address();
    // The shards of iasi are unknown until its scheduler answers a heartbeat.
    let mut answer = Value::Null;
    while !answer["message"].to_string().contains("more shards") {
        (_, answer) = send(address, "POST", "/v1/jobs", KEY, job("iasi")).await;
        assert_eq!(answer["class"], "elsewhere", "{answer}");
    }
    assert_eq!(answer["name"], "not_serving", "{answer}");
    assert_eq!(other.calls(), [""; 0]);
    gateway.stop().await;
}

/// Guards against a list without the jobs that are stored in the default home.
#[tokio::test]
async fn list_covers_the_default_home() {
    let (own, other) = (
        FakeScheduler::start("s1"),
        FakeScheduler::start_in("s2", "iasi"),
    );
    own.claim("cluj:0", 1);
    other.claim("iasi:0", 1);
    other.with(|state| state.jobs = vec![crate::jobs::job("w:iasi:0:1:1", "a", 1)]);
    let gateway = start_ready(&[&own, &other], "default_home: iasi").await;
    let (_, answer) = send(gateway.address(), "GET", "/v1/jobs", &[], "").await;
    assert_eq!(answer["jobs"][0]["work"], "w:iasi:0:1:1", "{answer}");
    assert_eq!(answer["incomplete"], serde_json::json!([]));
    gateway.stop().await;
}
