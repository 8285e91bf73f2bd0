use crate::id::HostId;

/// One host in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostListEntry {
    /// Host.
    pub host: HostId,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}
