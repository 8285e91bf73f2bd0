//! Reference of the settings of the gateway, scheduler and node and of the policy document: the single source of
//! docs/settings.md, of `lagoonctl explain` and of the tests that compare both with the settings types.
//!
//! A part of a key in capitals is a placeholder for a name or a list index, such as `TEAM` in `teams.TEAM.weight`.
//!
//! ```
//! use lagoon_process::reference::{self, Kind};
//!
//! let found = reference::find("teams.planning.weight");
//! assert_eq!(found[0].0, Kind::Policy);
//! assert_eq!(found[0].1.default, Some("1"));
//! ```

mod common;
mod entry;
mod find;
mod gateway;
mod kind;
mod node;
mod page;
mod policy;
mod scheduler;

pub use self::{entry::Entry, find::find, find::similar, kind::Kind, page::page};
