use lagoon_core::policy::Percent;

change_type! {
    /// Change to the shares of a kind of work.
    KindChange {
        /// Share that is reserved for this kind while it has waiting work.
        Guaranteed(Percent) = "guaranteed", "a percentage such as 20%";
        /// Share above which no further work of this kind starts.
        Ceiling(Percent) = "ceiling", "a percentage such as 20%";
    }
}
