/// Who decided that a shard is owned here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlacedBy {
    /// Rendezvous hashing over the live processes.
    Election,
    /// An operator; the shard stays until the process stops or an operator moves it.
    Operator,
}
