use lagoon_core::unit::Timestamp;

/// State of a failure domain as learned from heartbeats.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct DomainInfo {
    /// Time of the last heartbeat that a scheduler of the domain answered directly.
    pub(crate) last_heartbeat: Option<Timestamp>,
    /// Highest claimed shard number.
    pub(crate) highest_shard: Option<u16>,
}
