use lagoon_core::name_type;

name_type!(
    /// Name of a host that runs a node.
    MemberId,
    "member"
);
