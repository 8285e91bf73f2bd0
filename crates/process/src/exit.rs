//! Exit codes shared by all programs.

/// The command succeeded.
pub const SUCCESS: u8 = 0;
/// The command failed or was refused; the reason is printed.
pub const FAILED: u8 = 1;
/// Invalid arguments or an invalid settings file.
pub const USAGE: u8 = 2;
/// The result is unknown: the command may have taken effect.
pub const NOT_KNOWN: u8 = 3;
