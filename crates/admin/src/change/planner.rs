use lagoon_core::Refusal;
use lagoon_language::Command;
use lagoon_process::Clock;

use crate::change::policy_plan::{plan_drain, plan_set};
use crate::change::work_plan::{plan_confirm_dead_host, plan_hand_over, plan_work};
use crate::change::{Plan, PolicyStore, Preview};
use crate::schedulers::SchedulerPool;

/// Maximum number of examples in a preview.
pub(super) const EXAMPLES: usize = 20;

/// Plans commands against the current state.
#[derive(Debug, Clone)]
pub(crate) struct Planner {
    pub(crate) schedulers: SchedulerPool,
    pub(crate) policy: PolicyStore,
    pub(crate) count_limit: u64,
    pub(crate) clock: Clock,
}

impl Planner {
    /// Returns the preview of a command with its confirmation code.
    pub(crate) async fn preview(&self, command: &Command) -> Result<Preview, Refusal> {
        let plan = self.plan(command).await?;
        Ok(Preview::new(plan, self.count_limit))
    }

    pub(super) async fn plan(&self, command: &Command) -> Result<Plan, Refusal> {
        let now = self.clock.now();
        match command {
            Command::Set(setting) => plan_set(command, setting, self.policy.read().await?),
            Command::Drain(target) | Command::Undrain(target) => {
                let drained = matches!(command, Command::Drain(_));
                let base = self.policy.read().await?;
                let snapshot = self.schedulers.snapshot().await;
                plan_drain(command, target, drained, base, &snapshot)
            }
            Command::Work(action, selector) => {
                let snapshot = self.schedulers.snapshot().await;
                plan_work(&self.schedulers, snapshot, command, *action, selector, now).await
            }
            Command::ConfirmDeadHost(host) => {
                plan_confirm_dead_host(self.schedulers.snapshot().await, command, host)
            }
            Command::HandOver { shard, to } => {
                let snapshot = self.schedulers.snapshot().await;
                plan_hand_over(&self.schedulers, snapshot, command, shard, to, now)
            }
        }
    }
}
