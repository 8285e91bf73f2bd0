/// How this process was chosen as the owner of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlacedBy {
    /// Rendezvous hashing over the live processes.
    Election,
    /// A command of an operator; the shard stays until the process stops or an operator moves it.
    Operator,
}
