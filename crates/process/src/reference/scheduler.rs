//! Keys of the scheduler settings.

use crate::reference::Entry;
use crate::reference::entry::entries;

pub(super) const ENTRIES: &[Entry] = entries! {
    "process": "name", required, "any", "Name of this process, unique among the running processes.";
    "failure_domain": "name", required, "any", "Failure domain whose shards this process can own.";
    "listen": "address", required, "any", "Listen address for calls from other processes.";
    "health": "address", required, "any", "Listen address for health, readiness and metrics.";
    "shards": "number", required, "1 to 65535, the same in all gateways and schedulers of an installation",
        "Number of shards of each failure domain.";
    "peers": "list of addresses", "[]", "any", "Schedulers to contact first. The others are discovered from their responses.";
    "store": "address", required, "any", "Address of the key-value store.";
    "host_list": "address", required, "any", "Address of the host list.";
    "lease": "mapping", "{}", "any", "Worker leases.";
    "lease.ttl": "duration", "2s", "at least 100ms", "Duration of a lease on a worker.";
    "lease.task_ttl": "duration", "1m", "more than `lease.ttl`",
        "Time without contact with the owner of a shard after which workers stop the tasks of that shard.";
    "lease.margin": "duration", "200ms", "less than half of `lease.ttl`",
        "Time before its expiry at which the owner treats a lease as expired, to cover the delivery time of a command.";
    "store_writes": "rate", "20/s", "above 0/s", "Maximum rate of store writes of all shards of this process together.";
    "heartbeat": "duration", "500ms", "at least 10ms", "Interval between heartbeats to peers.";
    "suspect_after": "duration", "1500ms", "more than `heartbeat`", "Time without a response after which a peer is suspected to be down.";
    "record_timeout": "duration", "2s", "above 0ms", "Maximum wait for the store to record an acceptance.";
    "host_list_interval": "duration", "1s", "at least 10ms", "Interval between reads of the host list.";
    "drain_timeout": "duration", "30s", "any", "Maximum wait for requests in flight on shutdown.";
    "hand_over_after": "duration", "30s", "more than `suspect_after`",
        "Minimum uptime of a better suited process, and minimum time of ownership by this process, before a shard is handed over.";
};
