//! Keys of the policy document.

use crate::reference::Entry;
use crate::reference::entry::entries;

pub(super) const ENTRIES: &[Entry] = entries! {
    "version": "number", required, "from 1 on", "Version of the document, which must increase with each change.";
    "teams": "mapping by name", "{}", "any", "Teams.";
    "teams.TEAM.weight": "number", "1", "from 1 on", "Weight of the team in fair sharing.";
    "teams.TEAM.quota": "mapping", required, "any", "Resources that the team may use at one time in the failure domain of a shard.";
    "teams.TEAM.quota.cpu": "millicores", required, "from 1 on", "Processors, in thousandths of a core.";
    "teams.TEAM.quota.memory": "bytes", required, "from 1 on", "Memory.";
    "teams.TEAM.quota.accelerators": "number", "0", "from 0 on", "Accelerators.";
    "teams.TEAM.queue_limit": "number", "10000", "from 1 on", "Maximum number of items of the team that wait in a shard.";
    "default_team": "mapping", "null", "any",
        "Limits of teams that are not listed in `teams`, with the same keys as `teams.TEAM`. Without it, work of such teams is refused.";
    "default_team.weight": "number", "1", "from 1 on", "Weight of the team in fair sharing.";
    "default_team.quota": "mapping", required, "any", "Resources that the team may use at one time in the failure domain of a shard.";
    "default_team.quota.cpu": "millicores", required, "from 1 on", "Processors, in thousandths of a core.";
    "default_team.quota.memory": "bytes", required, "from 1 on", "Memory.";
    "default_team.quota.accelerators": "number", "0", "from 0 on", "Accelerators.";
    "default_team.queue_limit": "number", "10000", "from 1 on", "Maximum number of items of the team that wait in a shard.";
    "kinds": "mapping by kind", "{}", "guaranteed shares of at most 100 together",
        "Shares of each KIND of work: `service`, `batch` and `gang`.";
    "kinds.KIND": "mapping", "{}", "any", "Shares of one kind of work.";
    "kinds.KIND.guaranteed_percent": "percent", "20", "at most `ceiling_percent`",
        "Share that other kinds can't use while work of this kind waits.";
    "kinds.KIND.ceiling_percent": "percent", "90", "1 to 100", "Share at which no further work of this kind starts.";
    "services": "mapping by name", "{}", "any", "Services.";
    "services.SERVICE.request_timeout": "milliseconds", "30000", "from 1 on",
        "Maximum time of one request, from its start to its response.";
    "services.SERVICE.queue_limit": "number", "10000", "from 1 on", "Maximum number of requests that wait in a shard.";
    "services.SERVICE.repeatability": "text", "at_most_once", "at_most_once or restartable",
        "Whether a request may run again after its executor is lost.";
    "services.SERVICE.journal": "boolean", "false", "true or false", "Whether acceptance and outcome of each request are recorded in the journal.";
    "queue": "mapping", "{}", "any", "Limits of the queue of each shard.";
    "queue.items": "number", "100000", "from 1 on", "Maximum number of items.";
    "queue.bytes": "bytes", "134217728", "from 1 on", "Maximum total size of the items.";
    "health": "mapping", "{}", "any", "When a worker that fails what it starts rests.";
    "health.window": "milliseconds", "60000", "from 1 on", "Window in which failures are counted.";
    "health.failures": "number", "3", "from 1 on", "Number of failures, without a success, within the window after which a worker rests.";
    "health.rest": "milliseconds", "120000", "from 1 on", "Time for which a resting worker receives no new work.";
    "health.rested_share_cap_percent": "percent", "20", "0 to 100", "Maximum share of the known workers that may rest at one time.";
    "drained_hosts": "list of names", "[]", "any", "Hosts that receive no new work.";
    "retry_budget_percent": "percent", "10", "0 to 100", "Maximum number of retries, as a share of recent first starts.";
};
