use argh::FromArgs;

/// Starts a complete cluster in one process on loopback.
#[derive(Debug, FromArgs)]
pub(crate) struct DevArgs {
    /// run a sample session, print it and exit
    #[argh(switch)]
    pub(crate) once: bool,
}
