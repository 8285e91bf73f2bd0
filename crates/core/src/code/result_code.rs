use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::code::RefusalClass;
use crate::id::ParseIdError;

macro_rules! result_codes {
    ($($(#[$meta:meta])* $variant:ident = $number:literal, $name:literal, $class:ident;)*) => {
        /// Numbered result code of a refusal or failure.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(try_from = "u16", into = "u16")]
        pub enum ResultCode {
            $($(#[$meta])* $variant,)*
        }

        impl ResultCode {
            /// All codes in ascending order.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the number.
            pub const fn number(self) -> u16 {
                match self { $(Self::$variant => $number,)* }
            }

            /// Returns the name used in responses and docs.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// Returns what a refusal with this code tells about the work.
            pub const fn class(self) -> RefusalClass {
                match self { $(Self::$variant => RefusalClass::$class,)* }
            }
        }
    };
}

result_codes! {
    /// The message is not well-formed.
    Malformed = 1001, "malformed", NotRun;
    /// The message has an unknown field.
    UnknownField = 1002, "unknown_field", NotRun;
    /// A value has the wrong type, unit, sign or range.
    InvalidValue = 1003, "invalid_value", NotRun;
    /// The body exceeds the size limit.
    BodyTooLarge = 1004, "body_too_large", NotRun;
    /// The message did not arrive completely within the read timeout.
    ReadTimeout = 1005, "read_timeout", NotRun;
    /// The policy does not name the service.
    UnknownService = 1006, "unknown_service", NotRun;
    /// The policy does not name the team, and has no default team.
    UnknownTeam = 1007, "unknown_team", NotRun;
    /// No work has this id.
    UnknownWork = 1008, "unknown_work", NotRun;
    /// The ticket was never issued or is not well-formed.
    InvalidTicket = 1009, "invalid_ticket", NotRun;
    /// The request needs an idempotency key.
    MissingKey = 1010, "missing_key", NotRun;
    /// The ticket or key was used before for different content.
    KeyConflict = 1011, "key_conflict", NotRun;
    /// The token is missing or unknown.
    Unauthorized = 1012, "unauthorized", NotRun;
    /// The token does not permit the operation.
    Forbidden = 1013, "forbidden", NotRun;
    /// The path or method does not exist.
    UnknownRoute = 1014, "unknown_route", NotRun;
    /// The work exceeds the team's quota.
    QuotaExceeded = 2001, "quota_exceeded", NotRun;
    /// The queue of the team or service is full.
    QueueFull = 2002, "queue_full", NotRun;
    /// The estimated wait exceeds the time until the deadline.
    DeadlineInfeasible = 2003, "deadline_infeasible", NotRun;
    /// The known hosts could never hold the work.
    NeverFits = 2004, "never_fits", NotRun;
    /// The system has more work than it can accept.
    Overloaded = 2005, "overloaded", NotRun;
    /// The deadline passed before the work started.
    DeadlinePassed = 2006, "deadline_passed", NotRun;
    /// The work was cancelled before it started.
    Cancelled = 2007, "cancelled", NotRun;
    /// Every executor refused before it started the request.
    ExecutorsBusy = 2009, "executors_busy", NotRun;
    /// No policy document has reached the process yet.
    NoPolicy = 2010, "no_policy", NotRun;
    /// Every host that was tried refused to start the work.
    StartRefused = 2011, "start_refused", NotRun;
    /// The ticket table of the ticket's epoch was lost.
    TicketEpochLost = 3001, "ticket_epoch_lost", NotKnown;
    /// The answer was lost in transit.
    AnswerLost = 3002, "answer_lost", NotKnown;
    /// The host failed while the work may have been running on it.
    HostLost = 3003, "host_lost", NotKnown;
    /// The record may have been written, but the write was not confirmed.
    CommitUnconfirmed = 3004, "commit_unconfirmed", NotKnown;
    /// The answer was dropped after its retention period.
    AnswerExpired = 3005, "answer_expired", NotKnown;
    /// No answer arrived within the request timeout.
    AnswerTimeout = 3006, "answer_timeout", NotKnown;
    /// The work was stopped after it had started.
    Stopped = 3007, "stopped", NotKnown;
    /// Another process owns the shard.
    NotOwner = 4001, "not_owner", Elsewhere;
    /// The shard is being claimed, or fences its predecessor.
    NotServing = 4002, "not_serving", Elsewhere;
    /// The shard is being handed over.
    HandingOver = 4003, "handing_over", Elsewhere;
    /// The shard stopped after an invariant violation.
    ShardStopped = 4004, "shard_stopped", Elsewhere;
    /// The process is stopping.
    Draining = 4005, "draining", Elsewhere;
    /// The failure domain can't be reached.
    DomainUnreachable = 4006, "domain_unreachable", Elsewhere;
    /// Too many tickets are outstanding.
    TooManyTickets = 4007, "too_many_tickets", Elsewhere;
    /// A reservation was refused or has expired.
    ReservationRefused = 4008, "reservation_refused", Elsewhere;
    /// The store did not answer, so the work was not accepted. An earlier attempt with the same key may have been.
    StoreUnavailable = 4009, "store_unavailable", Elsewhere;
    /// The gateway has too many requests in flight.
    GatewayBusy = 4010, "gateway_busy", Elsewhere;
    /// The command is not well-formed.
    CommandSyntax = 5001, "command_syntax", NotRun;
    /// What the command affects has changed since its preview.
    StalePreview = 5002, "stale_preview", NotRun;
    /// The command affects so many items that their count must be given.
    CountRequired = 5003, "count_required", NotRun;
    /// A concurrent change was applied first.
    VersionConflict = 5004, "version_conflict", NotRun;
    /// No host has this name.
    UnknownHost = 5005, "unknown_host", NotRun;
    /// The policy document is not valid.
    InvalidPolicy = 5006, "invalid_policy", NotRun;
    /// Invariant violation: a host would be given more than its capacity.
    CapacityInvariant = 6001, "capacity_invariant", NotKnown;
    /// Invariant violation: a piece of work would run in two places.
    PlaceInvariant = 6002, "place_invariant", NotKnown;
    /// Invariant violation: refused work would be started.
    RefusedInvariant = 6003, "refused_invariant", NotKnown;
    /// Invariant violation: an epoch or version would decrease.
    EpochInvariant = 6004, "epoch_invariant", NotKnown;
    /// A settings file is not valid.
    InvalidSettings = 7001, "invalid_settings", NotRun;
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}

impl FromStr for ResultCode {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let matches = |code: &&Self| code.name() == text || code.number().to_string() == text;
        let found = Self::ALL.iter().find(matches);
        found
            .copied()
            .ok_or_else(|| ParseIdError::new("result code", text))
    }
}

impl TryFrom<u16> for ResultCode {
    type Error = ParseIdError;

    fn try_from(number: u16) -> Result<Self, Self::Error> {
        number.to_string().parse()
    }
}

impl From<ResultCode> for u16 {
    fn from(code: ResultCode) -> u16 {
        code.number()
    }
}
