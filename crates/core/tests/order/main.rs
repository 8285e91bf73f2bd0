//! Order of waiting work: shares, guarantees, urgency, quotas, deadlines and set-aside entries.

mod cases;
mod random;
mod util;
