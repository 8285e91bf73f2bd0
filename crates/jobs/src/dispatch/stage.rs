/// Stage of a dispatcher that recovers the work of earlier owners.
#[derive(Debug, Clone, Copy)]
pub struct Recovering;

/// Stage of a dispatcher that places work.
#[derive(Debug, Clone, Copy)]
pub struct Serving;
