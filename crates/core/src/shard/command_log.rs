use std::collections::{HashMap, VecDeque};

use crate::id::CommandId;

/// Commands to remember. A retry after a lost response arrives soon, so a short history is enough.
const MAX_COMMANDS: usize = 1_000;

/// Results of recent operator commands, so that a retry does not execute a command twice.
#[derive(Debug, Default)]
pub(super) struct CommandLog {
    results: HashMap<CommandId, u32>,
    order: VecDeque<CommandId>,
}

impl CommandLog {
    pub(super) fn get(&self, command: &CommandId) -> Option<u32> {
        self.results.get(command).copied()
    }

    pub(super) fn insert(&mut self, command: CommandId, changed: u32) {
        if self.results.insert(command.clone(), changed).is_some() {
            return;
        }
        self.order.push_back(command);
        if self.order.len() > MAX_COMMANDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.results.remove(&oldest);
        }
    }
}
