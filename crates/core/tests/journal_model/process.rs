use lagoon_core::id::ProcessId;
use lagoon_core::journal::{Claim, Journal, StoreRequest};

/// Role of a process with respect to the shard.
pub(crate) enum Role {
    Idle,
    Claiming {
        claim: Claim,
        sent: bool,
    },
    Owner {
        journal: Box<Journal>,
        outstanding: Option<StoreRequest>,
        appended: Vec<u64>,
        reported: usize,
    },
}

pub(crate) struct Process {
    pub(crate) id: ProcessId,
    pub(crate) role: Role,
}
