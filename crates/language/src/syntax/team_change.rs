use lagoon_core::policy::Weight;
use lagoon_core::unit::Resources;

change_type! {
    /// Change of a team's limits.
    TeamChange {
        /// Resources that may run at one time.
        Quota(Resources) = "quota", "resources such as cpu=500m,memory=2GiB,accelerators=1";
        /// Weight in the fair share.
        Weight(Weight) = "weight", "a weight such as 3";
        /// Largest number of items waiting in a shard.
        QueueLimit(u64) = "queue_limit", "a number";
    }
}
