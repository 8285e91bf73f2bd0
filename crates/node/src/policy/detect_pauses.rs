use lagoon_process::PauseDetector;
use tokio::time::{MissedTickBehavior, interval};

use crate::context::Context;

/// Detects pauses of the process until it ends.
pub(crate) async fn detect_pauses(cx: Context) {
    let mut ticks = interval(PauseDetector::INTERVAL.to_duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        drop(cx.policy_guard.observe());
    }
}
