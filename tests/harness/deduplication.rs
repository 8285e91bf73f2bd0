/// How repeats of a request are recognised.
#[derive(Debug, Clone)]
pub(crate) enum Deduplication {
    /// By a ticket.
    Ticket(String),
    /// By an idempotency key.
    Key(String),
    /// Not at all: the request is sent once, and its answer can't be fetched again.
    None,
}
