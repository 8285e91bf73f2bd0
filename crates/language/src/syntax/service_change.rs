use lagoon_core::unit::Millis;
use lagoon_core::work::Repeatability;

change_type! {
    /// Change to the settings of a service.
    ServiceChange {
        /// Timeout of a request.
        RequestTimeout(Millis) = "request_timeout", "a duration such as 300ms, 5s, 2m or 1h";
        /// Maximum number of requests that wait in a shard.
        QueueLimit(u64) = "queue_limit", "a number";
        /// Whether a request may be restarted after its executor is lost.
        Repeatability(Repeatability) = "repeatability", "at_most_once or restartable";
        /// Whether requests are recorded in the journal.
        Journal(bool) = "journal", "true or false";
    }
}
