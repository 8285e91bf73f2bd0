use bolero::generator::TypeGenerator;

/// One step of a randomised run. A number selects one of the existing items, modulo their count.
#[derive(Debug, Clone, Copy, TypeGenerator)]
pub(crate) enum Step {
    Advance(u8),
    Deliver(u8),
    DeliverAll,
    LoseMessage(u8),
    LoseResponse(u8),
    Heartbeats,
    Fence,
    SubmitBatch(u8),
    SubmitGang(u8),
    SubmitRequest(u8),
    SubmitOnce(u8),
    Repeat(u8),
    Cancel(u8),
    CancelMany,
    Claim(u8),
    Pause(u8),
    Resume(u8),
    Kill(u8),
    StoreDown,
    StoreUp,
    CrashWorker(u8),
    RestartWorker(u8),
    DisconnectWorker(u8),
    ReconnectWorker(u8),
}
