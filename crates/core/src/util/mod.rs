//! Private helpers: macros that define the newtypes of this crate.

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
