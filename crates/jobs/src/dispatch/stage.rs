/// Stage of a dispatcher that reads back what earlier owners left.
#[derive(Debug, Clone, Copy)]
pub struct Recovering;

/// Stage of a dispatcher that places work.
#[derive(Debug, Clone, Copy)]
pub struct Serving;
