//! Keys shared by the gateway and the scheduler.

use crate::reference::Entry;
use crate::reference::entry::entries;

pub(super) const ENTRIES: &[Entry] = entries! {
    "log": "mapping", "{}", "any", "Logging to standard error.";
    "log.format": "text", "text", "text or json", "Format of a line: human-readable text or one JSON object.";
    "log.level": "text", "info", "error, warn, info, debug, trace or a filter such as info,lagoon_gateway=debug",
        "Minimum level, or a filter.";
    "metrics": "mapping", "{}", "any", "Metrics, listed in docs/metrics.md.";
    "metrics.statsd": "address", "null", "any", "UDP address of statsd. Without it, metrics are only available at `GET /metrics`.";
    "metrics.prefix": "text", "lagoon", "not empty", "Prefix of the metric names in statsd.";
};
