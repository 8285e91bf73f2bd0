use lagoon_core::id::{ExecutorId, FailureDomain, HostId, ParseIdError, RackId, WorkerId};

use crate::platform::PlatformSettings;

/// A host with its worker and executors, before they have addresses.
#[derive(Debug)]
pub(crate) struct PlannedHost {
    pub(crate) host: HostId,
    pub(crate) domain: FailureDomain,
    pub(crate) rack: RackId,
    pub(crate) worker: WorkerId,
    pub(crate) executors: Vec<ExecutorId>,
}

/// Names all hosts: `cluj-h0` with worker `cluj-w0` in rack `cluj-r0`, and so on.
pub(crate) fn plan(settings: &PlatformSettings) -> Result<Vec<PlannedHost>, ParseIdError> {
    let mut hosts = Vec::new();
    let racks = settings.racks.max(1);
    for domain in &settings.domains {
        for index in 0..settings.workers {
            let mine = (0..settings.executors).filter(|e| e % settings.workers == index);
            let names = mine.map(|e| format!("{domain}-e{e}").parse());
            hosts.push(PlannedHost {
                host: format!("{domain}-h{index}").parse()?,
                domain: domain.clone(),
                rack: format!("{domain}-r{}", index % racks).parse()?,
                worker: format!("{domain}-w{index}").parse()?,
                executors: names.collect::<Result<_, _>>()?,
            });
        }
    }
    Ok(hosts)
}
