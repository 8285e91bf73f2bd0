use argh::FromArgs;

use crate::args::{BatchArgs, GangArgs, RequestArgs};

/// Submit a batch run, a gang job or a service request.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
pub(crate) struct SubmitArgs {
    #[argh(subcommand)]
    pub(crate) kind: SubmitKind,
}

/// Kind of work to submit.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum SubmitKind {
    Batch(BatchArgs),
    Gang(GangArgs),
    Request(RequestArgs),
}
