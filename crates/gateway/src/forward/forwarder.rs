use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lagoon_core::id::{FailureDomain, ShardId};
use lagoon_core::unit::Millis;
use lagoon_core::{Refusal, ResultCode};
use lagoon_process::{Clock, Metrics};
use lagoon_wire::v1;
use lagoon_wire::v1::scheduler_client::SchedulerClient;
use tokio::time::{Instant, timeout_at};
use tonic::Status;
use tonic::transport::Channel;

use crate::forward::{CallOutcome, Channels, RetryDecision, RetryPolicy, Target};
use crate::routing::RoutingTable;

const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Time for an unreachable failure domain to answer a heartbeat, for instance after a start of the gateway.
const DOMAIN_HEARTBEAT_WAIT: Duration = Duration::from_millis(2_000);
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Client of one scheduler.
pub(crate) type Client = SchedulerClient<Channel>;
/// Result of a call: the response, the scheduler's refusal, or a transport error.
pub(crate) type CallResult<R> = Result<Result<R, v1::Refusal>, Status>;

/// Sends calls to the owners of shards and retries them where that is safe.
#[derive(Debug)]
pub(crate) struct Forwarder {
    pub(crate) domain: FailureDomain,
    pub(crate) table: Arc<RoutingTable>,
    pub(crate) channels: Channels,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
}

impl Forwarder {
    /// Calls the owner of `target` until one call decides the result or `timeout` has passed.
    pub(crate) async fn send<R, F, Fut>(
        &self,
        target: &Target,
        retry_policy: RetryPolicy,
        timeout: Millis,
        call: F,
    ) -> Result<R, Refusal>
    where
        F: Fn(Client, ShardId) -> Fut,
        Fut: Future<Output = CallResult<R>>,
    {
        let started = Instant::now();
        let deadline = started + timeout.to_duration();
        let mut changes = self.table.watch();
        let mut owner_hint = None;
        let mut last_refusal = None;
        let mut response_lost = false;
        let mut backoff = INITIAL_BACKOFF;
        loop {
            changes.mark_unchanged();
            if let Some((shard, owner)) = self.owner(target, owner_hint.take()) {
                self.metrics.count("calls", 1);
                let result = timeout_at(deadline, call(self.client(owner), shard)).await;
                let Ok(result) = result else {
                    return Err(refusal_after_loss(last_refusal, response_lost)
                        .unwrap_or_else(|| timed_out(timeout)));
                };
                let outcome = CallOutcome::from_result(result);
                response_lost |= matches!(outcome, CallOutcome::Lost);
                match RetryDecision::decide(outcome, retry_policy, response_lost) {
                    RetryDecision::Done(result) => return result,
                    RetryDecision::Retry {
                        owner,
                        last_refusal: refusal,
                    } => {
                        owner_hint = owner;
                        last_refusal = Some(refusal);
                    }
                }
                self.metrics.count("calls.repeated", 1);
            }
            let retry_at = Instant::now() + backoff;
            if let Some(domain) = self.unreachable_home(target)
                && (retry_at >= deadline || started.elapsed() >= DOMAIN_HEARTBEAT_WAIT)
            {
                return Err(refusal_after_loss(last_refusal, response_lost)
                    .unwrap_or_else(|| domain_unreachable(domain)));
            }
            if retry_at >= deadline {
                return Err(last_refusal.unwrap_or_else(|| no_known_owner(target)));
            }
            // A route change ends the backoff, so that the new owner of a shard is called at once.
            let _ = timeout_at(retry_at, changes.changed()).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Returns the shard and the address for the next attempt.
    fn owner(
        &self,
        target: &Target,
        owner_hint: Option<SocketAddr>,
    ) -> Option<(ShardId, SocketAddr)> {
        match target {
            Target::Shard(shard) | Target::Home(shard) => {
                let routed = || self.table.get(shard).map(|route| route.owner);
                Some((shard.clone(), owner_hint.or_else(routed)?))
            }
            Target::AnyServing => {
                let shard = self.table.next_serving(&self.domain, self.clock.now())?;
                let owner = self.table.get(&shard)?.owner;
                Some((shard, owner))
            }
        }
    }

    /// Returns the home failure domain of a call with a key if no scheduler of that domain is reachable.
    fn unreachable_home<'a>(&self, target: &'a Target) -> Option<&'a FailureDomain> {
        let domain = target.home()?;
        let reachable = self.table.is_reachable(domain, self.clock.now());
        (!reachable).then_some(domain)
    }

    fn client(&self, owner: SocketAddr) -> Client {
        SchedulerClient::new(self.channels.get(owner)).max_decoding_message_size(MAX_RESPONSE_BYTES)
    }
}

/// Returns the last refusal if a response was lost. That refusal has class `not_known`, and the gateway's own refusals
/// must not replace it by one that says that the work did not run.
fn refusal_after_loss(last_refusal: Option<Refusal>, response_lost: bool) -> Option<Refusal> {
    last_refusal.filter(|_| response_lost)
}

fn timed_out(timeout: Millis) -> Refusal {
    let message = format!("no response from the scheduler within the request timeout of {timeout}");
    Refusal::new(ResultCode::AnswerTimeout, message)
}

fn no_known_owner(target: &Target) -> Refusal {
    let message = match target {
        Target::Shard(shard) | Target::Home(shard) => format!("shard {shard} has no known owner"),
        Target::AnyServing => "no shard of the gateway's failure domain is being served".to_owned(),
    };
    Refusal::new(ResultCode::NotServing, message)
}

fn domain_unreachable(domain: &FailureDomain) -> Refusal {
    let message = format!("no scheduler of the home failure domain {domain} is reachable");
    Refusal::new(ResultCode::DomainUnreachable, message)
}
