use lagoon_core::name_type;

name_type!(
    /// Label of an executor, such as its kind or its rack.
    Label,
    "label"
);
