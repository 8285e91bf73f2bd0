//! Exit codes that all programs share.

/// Done.
pub const SUCCESS: u8 = 0;
/// Failed or refused; the reason is printed.
pub const FAILED: u8 = 1;
/// Wrong usage or a settings file that is not valid.
pub const USAGE: u8 = 2;
/// The result is not known.
pub const NOT_KNOWN: u8 = 3;
