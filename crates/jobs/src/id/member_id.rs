use lagoon_core::name_type;

name_type!(
    /// Id of a member of the cell: the name of the host on which its node runs.
    MemberId,
    "member"
);
