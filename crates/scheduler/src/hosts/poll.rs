use std::sync::Arc;

use crate::context::Context;

/// Reads the host list periodically. While it can't be read, the last one stays in use.
pub(crate) async fn poll(cx: Arc<Context>) {
    let mut timer = tokio::time::interval(cx.settings.host_list_interval.to_duration());
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        match cx.host_list.hosts().await {
            Ok(entries) => cx
                .hosts
                .apply_host_list(&entries, &cx.settings.failure_domain),
            Err(e) => {
                tracing::debug!("hosts: host list can't be read, the last one stays in use: {e}")
            }
        }
    }
}
