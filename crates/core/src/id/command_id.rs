name_type!(
    /// Id of an operator command. Repeating a command with the same id has no further effect.
    CommandId,
    "command"
);
