//! Query and command language for operators: grammar, syntax tree, canonical form and completion. Performs no I/O.
//!
//! The command-line client, its prompt and the admin API share this grammar. A statement's canonical form parses to the
//! same statement, so a confirmation or an audit record can identify a command by its text:
//!
//! ```
//! use lagoon_language::{complete, parse};
//!
//! let statement = parse("show work where (state = waiting) and age>5000ms limit 3").unwrap();
//! assert_eq!(statement.to_string(), "show work where state = waiting and age > 5s limit 3");
//!
//! let error = parse("show wrok").unwrap_err();
//! assert_eq!(error.column(), 6);
//! assert_eq!(complete("show wo")[0].text(), "work");
//! ```

mod complete;
mod parse;
pub mod syntax;
mod syntax_error;

pub use crate::{
    complete::{Candidate, complete},
    parse::parse,
    syntax::{Command, Query, Statement},
    syntax_error::SyntaxError,
};
