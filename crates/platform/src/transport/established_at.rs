use tokio::time::Instant;

/// When a connection was established.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EstablishedAt(pub(crate) Instant);
