use lagoon_core::id::ProcessId;
use lagoon_core::journal::{Claim, Journal, JournalWrite};

/// What a process is doing with the shard.
pub(crate) enum Role {
    Idle,
    Claiming {
        claim: Claim,
        sent: bool,
    },
    Owner {
        journal: Box<Journal>,
        call: Option<JournalWrite>,
        appended: Vec<u64>,
        reported: usize,
    },
}

pub(crate) struct Process {
    pub(crate) id: ProcessId,
    pub(crate) role: Role,
}
