use argh::FromArgs;
use lagoon_core::id::{FailureDomain, RequestKey, TeamId};
use lagoon_core::unit::{Accelerators, Bytes, Millicores, Millis, Priority};
use lagoon_core::work::Spread;

/// Submit a gang job: identical tasks that start together or not at all.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "gang",
    example = "lagoonctl submit gang --team a --members 4 --cpu 8 --memory 16GiB --run 1h"
)]
pub(crate) struct GangArgs {
    /// number of tasks
    #[argh(option, arg_name = "number")]
    pub(crate) members: u32,
    /// distribution over racks: pack (default) or racks
    #[argh(option, default = "Spread::Pack")]
    pub(crate) spread: Spread,
    /// team that is charged
    #[argh(option)]
    pub(crate) team: TeamId,
    /// processors of each task, such as 500m or 2
    #[argh(option)]
    pub(crate) cpu: Millicores,
    /// memory of each task, such as 2GiB
    #[argh(option, arg_name = "size")]
    pub(crate) memory: Bytes,
    /// number of accelerators of each task
    #[argh(option, default = "Accelerators::ZERO", arg_name = "number")]
    pub(crate) accelerators: Accelerators,
    /// expected run time, such as 10m
    #[argh(option, arg_name = "time")]
    pub(crate) run: Millis,
    /// urgency from 0 to 100 (default 50)
    #[argh(option, default = "Priority::NORMAL")]
    pub(crate) priority: Priority,
    /// time from now until it must have started, such as 1h
    #[argh(option, arg_name = "time")]
    pub(crate) deadline: Option<Millis>,
    /// restart the tasks if a host is lost; without it, they run at most once
    #[argh(switch)]
    pub(crate) restartable: bool,
    /// input of each task
    #[argh(option, default = "String::new()", arg_name = "text")]
    pub(crate) payload: String,
    /// idempotency key; one is generated and printed if none is given
    #[argh(option)]
    pub(crate) key: Option<RequestKey>,
    /// failure domain that stores the key; a repeat needs the same one, and the gateway has a default
    #[argh(option, arg_name = "domain")]
    pub(crate) home: Option<FailureDomain>,
}
