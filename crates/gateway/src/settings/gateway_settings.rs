use lagoon_core::id::{FailureDomain, ProcessId};
use lagoon_core::policy::Percent;
use lagoon_core::unit::{Bytes, Millis};
use lagoon_process::logging::LogSettings;
use lagoon_process::metrics::MetricsSettings;
use lagoon_process::server::Limits;
use lagoon_process::settings::{Address, Checked, Problems, text};
use serde::Deserialize;

use crate::settings::TokenSettings;

const MIN_TOKEN_CHARS: usize = 16;

/// Settings of a gateway.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Id of this process.
    pub process: ProcessId,
    /// Failure domain of the gateway, which takes requests with neither a ticket nor an idempotency key.
    pub failure_domain: FailureDomain,
    /// Failure domain that stores the idempotency keys of requests that name no `home`. Must be the same for all
    /// gateways of an installation, because a retry may arrive through any of them. Without it, such requests are
    /// refused.
    #[serde(default)]
    pub default_home: Option<FailureDomain>,
    /// Number of shards of each failure domain. Must be the same for all gateways and schedulers of an installation,
    /// because the home shard of an idempotency key depends on it.
    pub shards: u16,
    /// Address of the API for callers.
    pub listen: Address,
    /// Schedulers to contact first; others are learned from their responses.
    pub schedulers: Vec<Address>,
    /// Largest accepted request body.
    #[serde(default = "default_max_body", deserialize_with = "text")]
    pub max_body: Bytes,
    /// Maximum number of open connections.
    #[serde(default = "default_max_connections")]
    pub max_connections: u32,
    /// Memory for the heads and bodies of all requests.
    #[serde(default = "default_request_memory", deserialize_with = "text")]
    pub request_memory: Bytes,
    /// Time limit for the header of a request to arrive completely, and again for the body.
    #[serde(default = "default_read_timeout", deserialize_with = "text")]
    pub read_timeout: Millis,
    /// Time limit for a request, retries included.
    #[serde(default = "default_request_timeout", deserialize_with = "text")]
    pub request_timeout: Millis,
    /// On a stop, time between reporting not ready and refusing new connections.
    #[serde(default = "default_drain_wait", deserialize_with = "text")]
    pub drain_wait: Millis,
    /// Maximum number of requests in flight; more are refused as busy.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: u64,
    /// Share of `max_in_flight` that one team can take, so that one team can't use the whole capacity.
    #[serde(default = "default_team_share", deserialize_with = "text")]
    pub team_in_flight_share: Percent,
    /// Callers and their tokens; without this setting, requests need no token.
    #[serde(default)]
    pub tokens: Option<Vec<TokenSettings>>,
    /// Log settings.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics settings.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

impl Checked for GatewaySettings {
    fn check(&self, problems: &mut Problems) {
        problems.require(self.shards > 0, "shards", "at least 1");
        let has_schedulers = !self.schedulers.is_empty();
        problems.require(
            has_schedulers,
            "schedulers",
            "at least one address such as 127.0.0.1:7100",
        );
        let positive = [
            ("max_body", self.max_body.get()),
            ("read_timeout", self.read_timeout.get()),
            ("request_timeout", self.request_timeout.get()),
            ("max_in_flight", self.max_in_flight),
            ("max_connections", self.max_connections.into()),
        ];
        for (key, value) in positive {
            problems.require(value > 0, key, "more than zero");
        }
        problems.require(
            self.request_memory >= self.max_body,
            "request_memory",
            "at least `max_body`",
        );
        let share_in_range = (Percent::new(1)..=Percent::FULL).contains(&self.team_in_flight_share);
        problems.require(share_in_range, "team_in_flight_share", "from 1% to 100%");
        if let Some(tokens) = &self.tokens {
            problems.require(
                !tokens.is_empty(),
                "tokens",
                "at least one caller, or no such key",
            );
            for (i, token) in tokens.iter().enumerate() {
                let is_long_enough = token.token.char_count() >= MIN_TOKEN_CHARS;
                let expected = "at least 16 characters";
                problems.require(is_long_enough, &format!("tokens.{i}.token"), expected);
                let teams = format!("tokens.{i}.teams");
                problems.require(!token.teams.is_empty(), &teams, "at least one team");
            }
        }
        problems.check_nested("log", &self.log);
        problems.check_nested("metrics", &self.metrics);
    }
}

fn default_max_body() -> Bytes {
    Bytes::new(1 << 20)
}

fn default_max_connections() -> u32 {
    Limits::default().max_connections
}

fn default_request_memory() -> Bytes {
    Limits::default().request_memory
}

fn default_read_timeout() -> Millis {
    Millis::new(10_000)
}

fn default_request_timeout() -> Millis {
    Millis::new(60_000)
}

fn default_drain_wait() -> Millis {
    Millis::new(5_000)
}

fn default_max_in_flight() -> u64 {
    10_000
}

fn default_team_share() -> Percent {
    Percent::new(50)
}
