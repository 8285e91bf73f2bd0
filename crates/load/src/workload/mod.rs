//! Fleets and their offered load.

mod deployment;
mod policy;
mod span;
mod stream;

pub(crate) use self::{deployment::Deployment, policy::policy, span::Span, stream::Stream};
