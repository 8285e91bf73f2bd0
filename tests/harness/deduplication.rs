/// How a request is made safe to repeat.
#[derive(Debug, Clone)]
pub(crate) enum Route {
    /// By a ticket.
    Ticket(String),
    /// By an idempotency key.
    Key(String),
    /// Not at all: it runs at most once, and its answer can't be had again.
    Once,
}
