use argh::FromArgs;

/// Starts a whole cluster in one process on loopback.
#[derive(Debug, FromArgs)]
pub(crate) struct DevArgs {
    /// play a sample session, print it and exit
    #[argh(switch)]
    pub(crate) once: bool,
}
