name_type!(
    /// Name of a team that submits work and has a quota.
    TeamId,
    "team"
);
