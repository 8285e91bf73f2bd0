use argh::FromArgs;
use lagoon_core::id::ServiceName;

/// Get tickets for requests that run at most once and can be repeated safely.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "tickets",
    example = "lagoonctl tickets --service settle --count 10"
)]
pub(crate) struct TicketsArgs {
    /// service that the requests are for
    #[argh(option)]
    pub(crate) service: ServiceName,
    /// number of tickets (default 1)
    #[argh(option, default = "1", arg_name = "number")]
    pub(crate) count: u32,
}
