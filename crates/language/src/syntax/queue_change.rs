use lagoon_core::unit::Bytes;

change_type! {
    /// Change of the bounds of each shard's queue.
    QueueChange {
        /// Largest number of items.
        Items(u64) = "items", "a number";
        /// Largest size of all items.
        Bytes(Bytes) = "bytes", "a size such as 512MiB, 2GB or 100B";
    }
}
