//! Keys of the gateway settings.

use crate::reference::Entry;
use crate::reference::entry::entries;

pub(super) const ENTRIES: &[Entry] = entries! {
    "process": "name", required, "any", "Name of this process, unique among the running processes.";
    "failure_domain": "name", required, "any", "Failure domain that requests with neither a ticket nor an idempotency key are sent to.";
    "default_home": "name", "null", "the same in all gateways of an installation",
        "Failure domain that deduplicates by idempotency key the requests that name no `home`. Without it, such requests are refused. After a change, repetitions of earlier requests go to other shards, which may run them again.";
    "shards": "number", required, "1 to 65535, the same in all gateways and schedulers of an installation",
        "Number of shards of each failure domain. It determines the shard of an idempotency key.";
    "listen": "address", required, "any", "Listen address of the callers' API and of health, readiness and metrics.";
    "schedulers": "list of addresses", required, "at least one",
        "Schedulers to contact first, from each failure domain that idempotency keys may name. The others are discovered from their responses.";
    "max_body": "size", "1MiB", "above 0B", "Maximum size of a request body.";
    "read_timeout": "duration", "10s", "above 0ms", "Time allowed to receive the complete header of a request, and then again its complete body.";
    "max_connections": "number", "10000", "from 1 on",
        "Maximum number of open connections, and at most a third of the descriptors that the process may open. Beyond it, the connection whose client has kept the gateway waiting longest is closed for a new one.";
    "request_memory": "size", "8MiB", "at least `max_body`",
        "Memory for the heads and bodies of all requests, beside 8KiB of each. Beyond it, the connection whose incomplete request has held memory longest is closed, and a request is refused as `overloaded` if there is none.";
    "request_timeout": "duration", "1m", "above 0ms", "Time allowed to answer a request, including retries.";
    "drain_wait": "duration", "5s", "any", "On shutdown, time between reporting not ready and closing the listener.";
    "max_in_flight": "number", "10000", "from 1 on",
        "Maximum number of requests in flight. Further requests are refused as `overloaded` before their body is read.";
    "team_in_flight_share": "percentage", "50%", "1% to 100%",
        "Share of `max_in_flight` that requests and jobs of one team can use, at least one request.";
    "tokens": "list of mappings", "null", "at least one, or no such key",
        "Callers and their tokens. Without this key, requests need no token.";
    "tokens.N.caller": "name", required, "any", "Name of the caller in logs.";
    "tokens.N.token": "text", required, "at least 16 characters", "Secret that the caller sends as a bearer token.";
    "tokens.N.teams": "list of names", required, "at least one", "Teams whose work the caller may view and submit.";
};
