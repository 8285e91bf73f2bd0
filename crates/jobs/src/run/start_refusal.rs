/// Why an executor refused to start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRefusal {
    /// It has seen a later owner.
    Fenced,
    /// It has seen a run with this number or a higher one.
    OldRun,
    /// The lease in the order was over.
    LeaseOver,
    /// It has no free capacity.
    NoRoom,
    /// The ticket is missing, wrong or no longer valid.
    Ticket,
    /// It is another life of the executor than the one that was meant.
    OtherLife,
    /// It is not healthy.
    Unhealthy,
    /// It can't read the order.
    Invalid,
}
