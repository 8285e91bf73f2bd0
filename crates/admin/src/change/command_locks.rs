use lagoon_core::id::CommandId;
use lagoon_core::membership::stable_hash;
use tokio::sync::{Mutex, MutexGuard};

const LOCK_COUNT: usize = 16;

/// Serializes requests with the same command id. Ids are hashed onto a fixed number of locks.
#[derive(Debug, Default)]
pub(super) struct CommandLocks([Mutex<()>; LOCK_COUNT]);

impl CommandLocks {
    pub(super) async fn lock(&self, command: &CommandId) -> MutexGuard<'_, ()> {
        let index = stable_hash(&[command.as_str()]) as usize % LOCK_COUNT;
        self.0[index].lock().await
    }
}
