use lagoon_core::policy::Percent;

change_type! {
    /// Change of the shares of a kind of work.
    KindChange {
        /// Share that other kinds can't take while this kind waits.
        Guaranteed(Percent) = "guaranteed", "a percentage such as 20%";
        /// Share at which no further work of this kind starts.
        Ceiling(Percent) = "ceiling", "a percentage such as 20%";
    }
}
