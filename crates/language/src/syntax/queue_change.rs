use lagoon_core::unit::Bytes;

change_type! {
    /// Change to the limits of each shard's queue.
    QueueChange {
        /// Maximum number of queued items.
        Items(u64) = "items", "a number";
        /// Maximum total size of the queued items.
        Bytes(Bytes) = "bytes", "a size such as 512MiB, 2GB or 100B";
    }
}
