use lagoon_core::name_type;

name_type!(
    /// Property of an executor, such as its kind or its rack.
    Label,
    "label"
);
