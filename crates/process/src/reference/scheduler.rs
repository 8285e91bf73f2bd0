//! Keys of the scheduler.

use crate::reference::Entry;
use crate::reference::entry::entries;

pub(super) const ENTRIES: &[Entry] = entries! {
    "process": "name", required, "any", "Name of this process; unique at any time.";
    "failure_domain": "name", required, "any", "Failure domain whose shards this process serves.";
    "listen": "address", required, "any", "Address for calls of other processes.";
    "health": "address", required, "any", "Address for health, readiness and metrics.";
    "shards": "number", required, "1 to 65535, the same in all gateways and schedulers of an installation",
        "Number of shards of each failure domain.";
    "peers": "list of addresses", "[]", "any", "Other schedulers to ask first; the others are learned from their answers.";
    "store": "address", required, "any", "Address of the key-value store.";
    "host_list": "address", required, "any", "Address of the host list.";
    "lease": "mapping", "{}", "any", "Worker leases.";
    "lease.ttl": "duration", "2s", "at least 100ms", "Time to live of a lease on a worker.";
    "lease.task_ttl": "duration", "1m", "more than `lease.ttl`",
        "Time after which the tasks of a shard stop by themselves if its owner is not heard of.";
    "lease.margin": "duration", "200ms", "less than half of `lease.ttl`",
        "Time by which a lease counts as ended before it ends, to cover the time until a command arrives.";
    "store_writes": "rate", "20/s", "above 0/s", "Store writes that all shards of this process may make.";
    "heartbeat": "duration", "500ms", "at least 10ms", "Wait between heartbeats to peers.";
    "suspect_after": "duration", "1500ms", "more than `heartbeat`", "Silence after which a peer is suspected.";
    "record_timeout": "duration", "2s", "above 0ms", "Longest wait for the store to record an acceptance.";
    "host_list_interval": "duration", "1s", "at least 10ms", "Wait between readings of the host list.";
    "drain_timeout": "duration", "30s", "any", "Longest wait for requests in flight when the process stops.";
    "hand_over_after": "duration", "30s", "more than `suspect_after`",
        "How long a better suited process must have been up, and the shard have been here, before it is handed over.";
};
