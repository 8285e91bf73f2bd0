//! Reference of the settings of every daemon and of the policy document: one source for docs/settings.md, for
//! `lagoonctl explain` and for the tests that compare both with the settings types.
//!
//! A key in capitals stands for a name or a number that the file chooses, such as `TEAM` in `teams.TEAM.weight`.
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
