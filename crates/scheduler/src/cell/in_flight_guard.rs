use tokio::sync::watch;

/// Counts a call to a shard as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    count: watch::Sender<usize>,
}

impl InFlightGuard {
    pub(super) fn new(count: &watch::Sender<usize>) -> Self {
        count.send_modify(|count| *count += 1);
        Self {
            count: count.clone(),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}
