/// Last shared read of the configuration that has finished.
#[derive(Debug, Default)]
pub(super) struct FinishedRead {
    /// Number of reads that had begun, including this one.
    pub(super) number: u64,
    pub(super) succeeded: bool,
}
