name_type!(
    /// Id of an operator's command; a repeat with the same id has no further effect.
    CommandId,
    "command"
);
