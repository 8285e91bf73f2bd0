use crate::id::ServiceName;

/// A service whose executors run tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
}
