//! Keys that every daemon has.

use crate::reference::Entry;
use crate::reference::entry::entries;

pub(super) const ENTRIES: &[Entry] = entries! {
    "log": "mapping", "{}", "any", "Log on standard error.";
    "log.format": "text", "text", "text or json", "Form of a line: for people, or one JSON object.";
    "log.level": "text", "info", "error, warn, info, debug, trace or a filter such as info,lagoon_gateway=debug",
        "Least level that is written.";
    "metrics": "mapping", "{}", "any", "Metrics, listed in docs/metrics.md.";
    "metrics.statsd": "address", "null", "any", "UDP address of statsd; without one, `GET /metrics` alone shows metrics.";
    "metrics.prefix": "text", "lagoon", "not empty", "First part of each metric's name in statsd.";
};
