use argh::FromArgs;
use lagoon_core::id::{FailureDomain, RequestKey, ServiceName, TeamId, Ticket};
use lagoon_core::unit::{Millis, Priority};

/// Send a request to a service and print its answer.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "request",
    example = "lagoonctl submit request --service settle --team a --payload 42"
)]
pub(crate) struct RequestArgs {
    /// service that answers
    #[argh(option)]
    pub(crate) service: ServiceName,
    /// team that is charged
    #[argh(option)]
    pub(crate) team: TeamId,
    /// urgency from 0 to 100 (default 50)
    #[argh(option, default = "Priority::NORMAL")]
    pub(crate) priority: Priority,
    /// time from now until it must have started, such as 5s
    #[argh(option, arg_name = "time")]
    pub(crate) deadline: Option<Millis>,
    /// what the service is given
    #[argh(option, default = "String::new()", arg_name = "text")]
    pub(crate) payload: String,
    /// ticket from `lagoonctl tickets`, for the fast route without a record
    #[argh(option)]
    pub(crate) ticket: Option<Ticket>,
    /// idempotency key; one is generated and printed if neither key nor ticket is given
    #[argh(option)]
    pub(crate) key: Option<RequestKey>,
    /// failure domain that knows the key; a repetition needs the same one, and the gateway has a default
    #[argh(option, arg_name = "domain")]
    pub(crate) home: Option<FailureDomain>,
}
