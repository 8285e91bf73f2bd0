use std::collections::HashMap;

use lagoon_core::shard::{Shard, WaiterId};

/// A process that may own the shard.
#[derive(Debug, Default)]
pub(crate) struct Process {
    pub(crate) shard: Option<Shard>,
    pub(crate) paused: bool,
    /// Payload of the work that each waiting caller submitted.
    pub(crate) waiters: HashMap<WaiterId, String>,
}
