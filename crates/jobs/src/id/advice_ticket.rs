use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Opaque permission of the placement adviser to run one step on one executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceTicket(Arc<str>);

impl fmt::Display for AdviceTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for AdviceTicket {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.into()))
    }
}
