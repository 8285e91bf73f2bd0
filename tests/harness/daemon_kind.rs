/// Kind of a daemon, which determines its program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DaemonKind {
    Scheduler,
    Gateway,
}

impl DaemonKind {
    pub(crate) fn program(self) -> &'static str {
        match self {
            Self::Scheduler => env!("CARGO_BIN_EXE_lagoon-scheduler"),
            Self::Gateway => env!("CARGO_BIN_EXE_lagoon-gateway"),
        }
    }
}
