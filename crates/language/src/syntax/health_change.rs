use lagoon_core::policy::Percent;
use lagoon_core::unit::Millis;

change_type! {
    /// Change of the rule by which a failing worker is rested.
    HealthChange {
        /// Time in which failures are counted.
        Window(Millis) = "window", "a duration such as 300ms, 5s, 2m or 1h";
        /// Failures that rest a worker.
        Failures(u32) = "failures", "a number";
        /// Time without new work.
        Rest(Millis) = "rest", "a duration such as 300ms, 5s, 2m or 1h";
        /// Largest share of the workers that rests at one time.
        RestedShareCap(Percent) = "rested_share_cap_percent", "a percentage such as 20%";
    }
}
