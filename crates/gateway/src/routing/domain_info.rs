use lagoon_core::unit::Timestamp;

/// What the gateway knows about a failure domain.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DomainInfo {
    /// Last heartbeat that a scheduler of the domain answered itself.
    pub(crate) last_heartbeat: Option<Timestamp>,
    /// Highest shard number that anyone claims.
    pub(crate) highest_shard: Option<u16>,
}
