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
    /// Schedulers to ask first; the others are learned from their answers.
    pub schedulers: Vec<Address>,
    /// Operators; every request needs the token of one.
    pub operators: Vec<OperatorSettings>,
    /// Number of touched items above which an apply must name the count.
    #[serde(default = "default_count_limit")]
    pub count_limit: u64,
    /// Longest wait for the answer of one scheduler.
    #[serde(default = "default_ask_timeout", deserialize_with = "text")]
    pub ask_timeout: Millis,
    /// Largest body of a request.
    #[serde(default = "default_max_body", deserialize_with = "text")]
    pub max_body: Bytes,
    /// Time for a header, and again for a body, to arrive whole.
    #[serde(default = "default_read_timeout", deserialize_with = "text")]
    pub read_timeout: Millis,
    /// Size of the audit trail.
    #[serde(default)]
    pub audit: AuditSettings,
    /// Log.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

impl Checked for AdminSettings {
    fn check(&self, problems: &mut Problems) {
        let seeds = !self.schedulers.is_empty();
        let address = "at least one address such as 127.0.0.1:7100";
        problems.require(seeds, "schedulers", address);
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
