//! Keys of the node settings.

use crate::reference::Entry;
use crate::reference::entry::entries;

pub(super) const ENTRIES: &[Entry] = entries! {
    "member": "name", required, "any", "Name of this host, unique among the running members of the cell.";
    "failure_domain": "name", required, "any", "Failure domain of the host.";
    "strength": "number", required, "above 0", "Processor share in cores. The host with the largest share claims the cell first.";
    "listen": "mapping", required, "any", "Listen addresses.";
    "listen.callers": "address", required, "any", "Listen address for callers.";
    "listen.readiness": "address", required, "any", "Listen address for the readiness checks of the platform.";
    "listen.peers": "address", required, "any", "Listen address for calls from other nodes.";
    "listen.metrics": "address", required, "any", "Listen address of `GET /metrics`, in the Prometheus text format, and of `lagoonctl inspect`.";
    "store": "address", required, "any", "Address of the platform's store.";
    "adviser": "address", required, "any", "Address of the placement adviser.";
    "limits": "mapping", required, "any", "Time limits set by the platform.";
    "limits.max_lease": "duration", required, "above 0ms", "Maximum lease that an executor grants.";
    "limits.retention": "duration", required, "any", "Retention time of the final states of jobs.";
    "limits.grace": "duration", required, "above 0ms", "Time from the shutdown request until the process is killed.";
    "limits.min_store_lease": "duration", required, "any", "Minimum lease that the store grants.";
    "max_connections": "number", "1500", "from 1 on",
        "Maximum number of open connections of callers, and at most a third of the descriptors that the process may open. Beyond it, the connection whose client has kept the node waiting longest is closed for a new one.";
    "request_memory": "size", "8MiB", "at least 256KiB",
        "Memory for the heads and bodies of all requests of callers, beside 8KiB of each. Beyond it, the connection whose incomplete request has held memory longest is closed, and a request is refused with 503 if there is none.";
    "log": "mapping", "{}", "any", "Logging to standard output.";
    "log.format": "text", "text", "text or json", "Format of a line: human-readable text or one JSON object.";
    "log.level": "text", "info", "error, warn, info, debug, trace or a filter such as info,lagoon_jobs=debug",
        "Minimum level, or a filter.";
};
