use lagoon_core::id::{FailureDomain, ProcessId};
use lagoon_core::unit::{Bytes, Millis};
use lagoon_process::logging::LogSettings;
use lagoon_process::metrics::MetricsSettings;
use lagoon_process::settings::{Address, Checked, Problems, text};
use serde::Deserialize;

use crate::settings::{AuditSettings, OperatorSettings};

const MIN_TOKEN_CHARS: usize = 16;

/// Settings of an admin process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminSettings {
    /// Name of this process.
    pub process: ProcessId,
    /// Failure domain of this process.
    pub failure_domain: FailureDomain,
    /// Address of the operators' API.
    pub listen: Address,
    /// Address of the store.
    pub store: Address,
    /// Schedulers to contact first; the others are discovered through heartbeats.
    pub schedulers: Vec<Address>,
    /// Operators. Every request needs the token of one of them.
    pub operators: Vec<OperatorSettings>,
    /// Number of affected items above which an apply must confirm the count.
    #[serde(default = "default_count_limit")]
    pub count_limit: u64,
    /// Timeout for a response of a scheduler.
    #[serde(default = "default_ask_timeout", deserialize_with = "text")]
    pub ask_timeout: Millis,
    /// Maximum size of a request body.
    #[serde(default = "default_max_body", deserialize_with = "text")]
    pub max_body: Bytes,
    /// Timeout for reading the header of a request, and again for its body.
    #[serde(default = "default_read_timeout", deserialize_with = "text")]
    pub read_timeout: Millis,
    /// Limits of the audit trail.
    #[serde(default)]
    pub audit: AuditSettings,
    /// Settings of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// Settings of the metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

impl Checked for AdminSettings {
    fn check(&self, problems: &mut Problems) {
        let has_schedulers = !self.schedulers.is_empty();
        let address = "at least one address such as 127.0.0.1:7100";
        problems.require(has_schedulers, "schedulers", address);
        let operators = !self.operators.is_empty();
        problems.require(operators, "operators", "at least one operator");
        for (i, operator) in self.operators.iter().enumerate() {
            let long = operator.token.char_count() >= MIN_TOKEN_CHARS;
            let key = format!("operators.{i}.token");
            problems.require(long, &key, "at least 16 characters");
        }
        let positive = [
            ("ask_timeout", self.ask_timeout.get()),
            ("max_body", self.max_body.get()),
            ("read_timeout", self.read_timeout.get()),
        ];
        for (key, value) in positive {
            problems.require(value > 0, key, "more than zero");
        }
        problems.check_nested("audit", &self.audit);
        problems.check_nested("log", &self.log);
        problems.check_nested("metrics", &self.metrics);
    }
}

const fn default_count_limit() -> u64 {
    100
}

const fn default_ask_timeout() -> Millis {
    Millis::new(1_000)
}

const fn default_max_body() -> Bytes {
    Bytes::new(256 << 10)
}

const fn default_read_timeout() -> Millis {
    Millis::new(10_000)
}
