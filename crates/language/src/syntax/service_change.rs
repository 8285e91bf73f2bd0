use lagoon_core::unit::Millis;
use lagoon_core::work::Repeatability;

change_type! {
    /// Change of a service's limits.
    ServiceChange {
        /// Longest time of one request.
        RequestTimeout(Millis) = "request_timeout", "a duration such as 300ms, 5s, 2m or 1h";
        /// Largest number of requests waiting in a shard.
        QueueLimit(u64) = "queue_limit", "a number";
        /// Whether a request may run again after its executor was lost.
        Repeatability(Repeatability) = "repeatability", "at_most_once or restartable";
        /// Whether requests are recorded in the journal.
        Journal(bool) = "journal", "true or false";
    }
}
