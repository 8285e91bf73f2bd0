/// Why an executor refused to start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRefusal {
    /// It has seen a later owner.
    Fenced,
    /// It has seen a run with this number or a higher one.
    StaleRun,
    /// The lease in the order was over.
    LeaseExpired,
    /// It has no free capacity.
    NoCapacity,
    /// The ticket is missing, wrong or no longer valid.
    InvalidTicket,
    /// It is another life of the executor than the one that was meant.
    OtherIncarnation,
    /// It is not healthy.
    Unhealthy,
    /// It can't read the order.
    MalformedRequest,
}
