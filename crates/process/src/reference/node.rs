//! Keys of the node.

use crate::reference::Entry;
use crate::reference::entry::entries;

pub(super) const ENTRIES: &[Entry] = entries! {
    "member": "name", required, "any", "Name of this host; unique in the cell at any time.";
    "failure_domain": "name", required, "any", "Failure domain of the host.";
    "strength": "number", required, "above 0", "Processor share in cores; the strongest host claims the cell first.";
    "listen": "mapping", required, "any", "Addresses to listen on.";
    "listen.callers": "address", required, "any", "Address for callers.";
    "listen.readiness": "address", required, "any", "Address at which the platform asks whether the node takes calls.";
    "listen.peers": "address", required, "any", "Address for calls of other nodes.";
    "listen.metrics": "address", required, "any", "Address of `GET /metrics`, in text form, and of `lagoonctl inspect`.";
    "store": "address", required, "any", "Address of the platform's store.";
    "adviser": "address", required, "any", "Address of the placement adviser.";
    "limits": "mapping", required, "any", "Times that the platform sets.";
    "limits.max_lease": "duration", required, "above 0ms", "Longest lease that an executor grants.";
    "limits.retention": "duration", required, "any", "Time for which final states of jobs are kept.";
    "limits.grace": "duration", required, "above 0ms", "Time from the request to stop until the process is killed.";
    "limits.min_store_lease": "duration", required, "any", "Shortest lease of the store.";
    "log": "mapping", "{}", "any", "Log on standard output.";
    "log.format": "text", "text", "text or json", "Form of a line: for people, or one JSON object.";
    "log.level": "text", "info", "error, warn, info, debug, trace or a filter such as info,lagoon_jobs=debug",
        "Least level that is written.";
};
