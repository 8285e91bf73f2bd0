use lagoon_core::id::CommandId;
use lagoon_core::membership::stable_hash;
use tokio::sync::{Mutex, MutexGuard};

const PARTS: usize = 16;

/// Lets two requests with one command id go one after the other.
#[derive(Debug, Default)]
pub(super) struct Turns([Mutex<()>; PARTS]);

impl Turns {
    pub(super) async fn wait(&self, command: &CommandId) -> MutexGuard<'_, ()> {
        let part = stable_hash(&[command.as_str()]) as usize % PARTS;
        self.0[part].lock().await
    }
}
