use lagoon_core::id::{ExecutorId, FailureDomain, HostId, ParseIdError, RackId, WorkerId};

use crate::platform::PlatformSettings;

/// A host with its worker and executors, before addresses are assigned.
#[derive(Debug)]
pub(crate) struct PlannedHost {
    pub(crate) host: HostId,
    pub(crate) domain: FailureDomain,
    pub(crate) rack: RackId,
    pub(crate) worker: WorkerId,
    pub(crate) executors: Vec<ExecutorId>,
}

/// Returns all hosts of a platform, named by failure domain: `cluj-h0` with worker `cluj-w0` in rack `cluj-r0`.
pub(crate) fn plan_hosts(settings: &PlatformSettings) -> Result<Vec<PlannedHost>, ParseIdError> {
    let mut hosts = Vec::new();
    let racks = settings.racks.max(1);
    for domain in &settings.domains {
        for index in 0..settings.workers {
            let on_host = (0..settings.executors).filter(|e| e % settings.workers == index);
            let executor_ids = on_host.map(|e| format!("{domain}-e{e}").parse());
            hosts.push(PlannedHost {
                host: format!("{domain}-h{index}").parse()?,
                domain: domain.clone(),
                rack: format!("{domain}-r{}", index % racks).parse()?,
                worker: format!("{domain}-w{index}").parse()?,
                executors: executor_ids.collect::<Result<_, _>>()?,
            });
        }
    }
    Ok(hosts)
}
