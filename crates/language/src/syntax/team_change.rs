use lagoon_core::policy::Weight;
use lagoon_core::unit::Resources;

change_type! {
    /// Change to a team's limits.
    TeamChange {
        /// Maximum resources in use at one time.
        Quota(Resources) = "quota", "resources such as cpu=500m,memory=2GiB,accelerators=1";
        /// Fair-share weight.
        Weight(Weight) = "weight", "a weight such as 3";
        /// Maximum number of items that wait in a shard.
        QueueLimit(u64) = "queue_limit", "a number";
    }
}
