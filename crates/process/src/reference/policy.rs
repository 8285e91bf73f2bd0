//! Keys of the policy document.

use crate::reference::Entry;
use crate::reference::entry::entries;

pub(super) const ENTRIES: &[Entry] = entries! {
    "version": "number", required, "from 1 on", "Version of the document; only grows.";
    "teams": "mapping by name", "{}", "any", "Teams.";
    "teams.TEAM.weight": "number", "1", "from 1 on", "Weight of the team in the fair share.";
    "teams.TEAM.quota": "mapping", required, "any", "Resources that may run at one time in a shard's failure domain.";
    "teams.TEAM.quota.cpu": "millicores", required, "from 1 on", "Processors, in thousandths of a core.";
    "teams.TEAM.quota.memory": "bytes", required, "from 1 on", "Memory.";
    "teams.TEAM.quota.accelerators": "number", "0", "from 0 on", "Accelerators.";
    "teams.TEAM.queue_limit": "number", "10000", "from 1 on", "Largest number of items of the team waiting in a shard.";
    "default_team": "mapping", "null", "any",
        "Limits of teams that `teams` does not name, with the same keys as `teams.TEAM`; without it their work is refused.";
    "default_team.weight": "number", "1", "from 1 on", "Weight of the team in the fair share.";
    "default_team.quota": "mapping", required, "any", "Resources that may run at one time in a shard's failure domain.";
    "default_team.quota.cpu": "millicores", required, "from 1 on", "Processors, in thousandths of a core.";
    "default_team.quota.memory": "bytes", required, "from 1 on", "Memory.";
    "default_team.quota.accelerators": "number", "0", "from 0 on", "Accelerators.";
    "default_team.queue_limit": "number", "10000", "from 1 on", "Largest number of items of the team waiting in a shard.";
    "kinds": "mapping by kind", "{}", "guaranteed shares of at most 100 together",
        "Shares of each KIND of work: `service`, `batch` and `gang`.";
    "kinds.KIND": "mapping", "{}", "any", "Shares of one kind.";
    "kinds.KIND.guaranteed_percent": "percent", "20", "at most `ceiling_percent`",
        "Share that other kinds can't take while this kind waits.";
    "kinds.KIND.ceiling_percent": "percent", "90", "1 to 100", "Share at which no further work of this kind starts.";
    "services": "mapping by name", "{}", "any", "Services.";
    "services.SERVICE.request_timeout": "milliseconds", "30000", "from 1 on",
        "Longest time of one request, from its start to its response.";
    "services.SERVICE.queue_limit": "number", "10000", "from 1 on", "Largest number of requests waiting in a shard.";
    "services.SERVICE.repeatability": "text", "at_most_once", "at_most_once or restartable",
        "Whether a request may run again after its executor was lost.";
    "services.SERVICE.journal": "boolean", "false", "true or false", "Whether requests take the journal route.";
    "queue": "mapping", "{}", "any", "Bounds of each shard's queue.";
    "queue.items": "number", "100000", "from 1 on", "Largest number of items.";
    "queue.bytes": "bytes", "134217728", "from 1 on", "Largest size of all items.";
    "health": "mapping", "{}", "any", "When a worker that fails what it starts is rested.";
    "health.window": "milliseconds", "60000", "from 1 on", "Time in which failures are counted.";
    "health.failures": "number", "3", "from 1 on", "Failures without a success within the window that rest a worker.";
    "health.rest": "milliseconds", "120000", "from 1 on", "Time without new work.";
    "health.rested_share_cap_percent": "percent", "20", "0 to 100", "Largest share of the known workers that rests at one time.";
    "drained_hosts": "list of names", "[]", "any", "Hosts that receive no new work.";
    "retry_budget_percent": "percent", "10", "0 to 100", "Largest number of retries as a share of recent first starts.";
};
