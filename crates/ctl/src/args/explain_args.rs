use argh::FromArgs;

/// Explain a key of the settings or of the policy document: meaning, unit, default and range. Needs no gateway.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "lagoonctl explain teams.TEAM.weight"
)]
pub(crate) struct ExplainArgs {
    /// key or prefix of a key, such as log; without it, the whole reference is printed
    #[argh(positional)]
    pub(crate) key: Option<String>,
}
