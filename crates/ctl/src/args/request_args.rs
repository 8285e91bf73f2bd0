use argh::FromArgs;
use lagoon_core::id::{FailureDomain, RequestKey, ServiceName, TeamId, Ticket};
use lagoon_core::unit::{Millis, Priority};

/// Send a request to a service and print the response.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "request",
    example = "lagoonctl submit request --service settle --team a --payload 42"
)]
pub(crate) struct RequestArgs {
    /// service that handles the request
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
    /// input of the service
    #[argh(option, default = "String::new()", arg_name = "text")]
    pub(crate) payload: String,
    /// ticket from `lagoonctl tickets`; faster, because the request is not recorded
    #[argh(option)]
    pub(crate) ticket: Option<Ticket>,
    /// idempotency key; one is generated and printed if neither key nor ticket is given
    #[argh(option)]
    pub(crate) key: Option<RequestKey>,
    /// failure domain that stores the key; a repeat needs the same one, and the gateway has a default
    #[argh(option, arg_name = "domain")]
    pub(crate) home: Option<FailureDomain>,
}
