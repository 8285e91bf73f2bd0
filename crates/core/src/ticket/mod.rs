//! Tickets that give requests at-most-once execution. The answer is retained for retries.
//!
//! A request whose ticket is not in the table is never run, because an earlier owner may have run it. Sequence numbers
//! are dense, so a ring buffer holds the tickets of an epoch and an unused ticket takes one small slot:
//!
//! ```
//! use lagoon_core::id::Epoch;
//! use lagoon_core::ticket::{TicketDecision, TicketLimits, TicketTable};
//! use lagoon_core::unit::Timestamp;
//!
//! let now = Timestamp::from_millis(0);
//! let mut table = TicketTable::new("cluj:3".parse().unwrap(), Epoch::new(1), TicketLimits::default());
//! let ticket = table.issue(1, now).unwrap().remove(0);
//! assert_eq!(table.admit(&ticket, 7, now), TicketDecision::Run);
//! assert_eq!(table.admit(&ticket, 7, now), TicketDecision::InFlight);
//! ```

mod epoch_snapshot;
mod epoch_table;
mod handover;
mod ticket_decision;
mod ticket_limits;
mod ticket_snapshot;
mod ticket_state;
mod ticket_table;

pub use self::{
    epoch_snapshot::EpochSnapshot, ticket_decision::TicketDecision, ticket_limits::TicketLimits,
    ticket_snapshot::TicketSnapshot, ticket_state::TicketState, ticket_table::TicketTable,
};
