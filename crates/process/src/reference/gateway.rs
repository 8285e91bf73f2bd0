//! Keys of the gateway.

use crate::reference::Entry;
use crate::reference::entry::entries;

pub(super) const ENTRIES: &[Entry] = entries! {
    "process": "name", required, "any", "Name of this process; unique at any time.";
    "failure_domain": "name", required, "any", "Failure domain that takes requests with neither a ticket nor a key.";
    "default_home": "name", "null", "the same in all gateways of an installation",
        "Failure domain that knows the idempotency keys of requests that name no `home`. Without it, such requests are refused. A change sends repetitions of earlier requests to other shards, which may run them again.";
    "shards": "number", required, "1 to 65535, the same in all gateways and schedulers of an installation",
        "Number of shards of each failure domain. It decides which shard an idempotency key belongs to.";
    "listen": "address", required, "any", "Address of the callers' API, health, readiness and metrics.";
    "schedulers": "list of addresses", required, "at least one",
        "Schedulers to ask first, of each failure domain that keys may name; the others are learned from their answers.";
    "max_body": "size", "1MiB", "above 0B", "Largest body of a request.";
    "read_timeout": "duration", "10s", "above 0ms", "Time for a header, and again for a body, to arrive whole.";
    "request_timeout": "duration", "1m", "above 0ms", "Time for a request to be answered, repetitions included.";
    "drain_wait": "duration", "5s", "any", "Time between the end of readiness and the end of new connections on a stop.";
    "max_in_flight": "number", "10000", "from 1 on",
        "Largest number of requests in flight; further ones are refused as `overloaded` before their body is read.";
    "team_in_flight_share": "percentage", "50%", "1% to 100%",
        "Share of `max_in_flight` that requests and jobs of one team can take, at least one request.";
    "tokens": "list of mappings", "null", "at least one, or no such key",
        "Callers with their tokens; without the key, requests need no token.";
    "tokens.N.caller": "name", required, "any", "Name of the caller in logs.";
    "tokens.N.token": "text", required, "at least 16 characters", "Secret that the caller sends as a bearer token.";
    "tokens.N.teams": "list of names", required, "at least one", "Teams whose work the caller may see and submit.";
};
