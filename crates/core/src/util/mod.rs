//! Macros that define this crate's newtypes, and shared parsing functions.

#[macro_use]
mod text_serde;
#[macro_use]
mod name;
#[macro_use]
mod counter;
#[macro_use]
mod numbered;
#[macro_use]
mod quantity;
pub(crate) mod parse;
