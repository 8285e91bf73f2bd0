use tokio::sync::watch;

/// A call in flight at a shard.
#[derive(Debug)]
pub(crate) struct InFlight {
    count: watch::Sender<usize>,
}

impl InFlight {
    pub(super) fn new(count: &watch::Sender<usize>) -> Self {
        count.send_modify(|count| *count += 1);
        Self {
            count: count.clone(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}
