use lagoon_core::policy::Percent;
use lagoon_core::unit::Millis;

change_type! {
    /// Change to the rule for resting failing workers.
    HealthChange {
        /// Window in which failures are counted.
        Window(Millis) = "window", "a duration such as 300ms, 5s, 2m or 1h";
        /// Number of failures in the window after which a worker is rested.
        Failures(u32) = "failures", "a number";
        /// Time for which a rested worker gets no new work.
        Rest(Millis) = "rest", "a duration such as 300ms, 5s, 2m or 1h";
        /// Maximum share of the workers that may rest at one time.
        RestedShareCap(Percent) = "rested_share_cap_percent", "a percentage such as 20%";
    }
}
