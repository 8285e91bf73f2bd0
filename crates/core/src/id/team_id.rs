name_type!(
    /// Name of a team that owns work and a quota.
    TeamId,
    "team"
);
