//! Order of waiting work: shares, guarantees, urgent work, quotas, deadlines and deferred entries.

mod cases;
mod random;
mod util;
