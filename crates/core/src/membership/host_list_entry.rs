use crate::id::HostId;

/// One host in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostListEntry {
    /// Id of the host.
    pub host: HostId,
    /// Whether the platform is about to remove the host.
    pub leaving: bool,
}
