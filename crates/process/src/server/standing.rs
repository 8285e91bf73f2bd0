/// Whether a connection has proved useful. Connections of the larger group are closed first when room is needed, so that
/// neither group can drive the other out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Standing {
    /// No complete request has arrived yet.
    New,
    /// A complete request has been answered.
    Served,
}
