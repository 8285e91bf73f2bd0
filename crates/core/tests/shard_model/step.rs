use bolero::generator::TypeGenerator;

/// One step of a randomised run. Numbers select among what exists, modulo its count.
#[derive(Debug, Clone, Copy, TypeGenerator)]
pub(crate) enum Step {
    Advance(u8),
    Deliver(u8),
    DeliverAll,
    LoseMessage(u8),
    LoseAnswer(u8),
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
    CutWorker(u8),
    HealWorker(u8),
}
