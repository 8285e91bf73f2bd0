use lagoon_core::id::{FailureDomain, ProcessId};
use lagoon_core::policy::Percent;
use lagoon_core::unit::{Bytes, Millis};
use lagoon_process::logging::LogSettings;
use lagoon_process::metrics::MetricsSettings;
use lagoon_process::settings::{Address, Checked, Problems, text};
use serde::Deserialize;

use crate::settings::TokenSettings;

const MIN_TOKEN_CHARS: usize = 16;

/// Settings of a gateway.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of this process.
    pub process: ProcessId,
    /// Failure domain that takes requests with neither a ticket nor a key.
    pub failure_domain: FailureDomain,
    /// Failure domain that knows the idempotency keys of requests that name no `home`. All gateways of an installation
    /// need the same one, because a retry may arrive through any of them. Without it, such requests are refused.
    #[serde(default)]
    pub default_home: Option<FailureDomain>,
    /// Number of shards of each failure domain. All gateways and schedulers of an installation need the same number,
    /// because it decides which shard an idempotency key belongs to.
    pub shards: u16,
    /// Address of the callers' API.
    pub listen: Address,
    /// Schedulers to ask first; the others are learned from their answers.
    pub schedulers: Vec<Address>,
    /// Largest body of a request.
    #[serde(default = "default_max_body", deserialize_with = "text")]
    pub max_body: Bytes,
    /// Time for a header, and again for a body, to arrive whole.
    #[serde(default = "default_read_timeout", deserialize_with = "text")]
    pub read_timeout: Millis,
    /// Time for a request to be answered, repetitions included.
    #[serde(default = "default_request_timeout", deserialize_with = "text")]
    pub request_timeout: Millis,
    /// Time between the end of readiness and the end of new connections on a stop.
    #[serde(default = "default_drain_wait", deserialize_with = "text")]
    pub drain_wait: Millis,
    /// Largest number of requests in flight; further ones are refused as busy.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: u64,
    /// Share of `max_in_flight` that one team can take, so that its flood leaves room for the others.
    #[serde(default = "default_team_share", deserialize_with = "text")]
    pub team_in_flight_share: Percent,
    /// Callers; without any, requests need no token.
    #[serde(default)]
    pub tokens: Option<Vec<TokenSettings>>,
    /// Log.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

impl Checked for GatewaySettings {
    fn check(&self, problems: &mut Problems) {
        problems.require(self.shards > 0, "shards", "a number from 1 on");
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
        ];
        for (key, value) in positive {
            problems.require(value > 0, key, "more than zero");
        }
        let share_in_range = (Percent::new(1)..=Percent::FULL).contains(&self.team_in_flight_share);
        problems.require(share_in_range, "team_in_flight_share", "from 1% to 100%");
        if let Some(tokens) = &self.tokens {
            problems.require(
                !tokens.is_empty(),
                "tokens",
                "at least one caller, or no such key",
            );
            for (i, token) in tokens.iter().enumerate() {
                let is_long_enough = token.token.chars() >= MIN_TOKEN_CHARS;
                let expected = "at least 16 characters";
                problems.require(is_long_enough, &format!("tokens.{i}.token"), expected);
                let teams = format!("tokens.{i}.teams");
                problems.require(!token.teams.is_empty(), &teams, "at least one team");
            }
        }
        problems.check_part("log", &self.log);
        problems.check_part("metrics", &self.metrics);
    }
}

fn default_max_body() -> Bytes {
    Bytes::new(1 << 20)
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
