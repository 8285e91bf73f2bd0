/// Why an executor refused to start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRefusal {
    /// It has seen a later owner.
    Fenced,
    /// It has seen a run of the task with this number or a higher one.
    OldRun,
    /// The lease in the request has expired.
    LeaseOver,
    /// It does not have enough free capacity.
    NoRoom,
    /// The adviser's ticket is missing, wrong or no longer valid.
    Ticket,
    /// Its incarnation is not the one that the request names.
    OtherLife,
    /// It is not healthy.
    Unhealthy,
    /// It rejected the request as invalid, or gave a reason that is not known here.
    Invalid,
}
