use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use lagoon_core::id::TeamId;
use lagoon_core::policy::Percent;
use lagoon_core::unit::Millis;
use lagoon_core::{Refusal, ResultCode};
use lagoon_process::Metrics;
use lagoon_process::Sharded;

use crate::limit::{Permit, TeamPermit};

/// Delay that a refused caller is told. Most requests end within a second.
const RETRY_AFTER: Millis = Millis::new(1_000);

/// Limits the requests in flight, in total and per team.
#[derive(Debug)]
pub(crate) struct InFlightLimiter {
    limit: u64,
    team_limit: u64,
    total: AtomicU64,
    /// Number of requests in flight by team. Only teams with at least one, so that made-up names take no memory.
    teams: Sharded<TeamId, u64>,
    metrics: Metrics,
}

impl InFlightLimiter {
    /// Returns a limiter for `limit` requests; `team_share` of them, and at least one, may be of the same team.
    pub(crate) fn new(limit: u64, team_share: Percent, metrics: Metrics) -> Arc<Self> {
        Arc::new(Self {
            limit,
            team_limit: team_share.of(limit).max(1),
            total: AtomicU64::new(0),
            teams: Sharded::new(),
            metrics,
        })
    }

    /// Returns the number of requests in flight.
    pub(crate) fn total(&self) -> u64 {
        self.total.load(Ordering::Relaxed)
    }

    /// Acquires a permit for a request.
    ///
    /// # Errors
    ///
    /// `gateway_busy` if the total limit is reached.
    pub(crate) fn acquire(self: &Arc<Self>) -> Result<Permit, Refusal> {
        let incremented = |total| (total < self.limit).then_some(total + 1);
        let acquired = self
            .total
            .fetch_update(Ordering::AcqRel, Ordering::Relaxed, incremented);
        if acquired.is_err() {
            self.metrics.count("requests.overloaded", 1);
            let limit = self.limit;
            return Err(busy_refusal(format!("the gateway has {limit} requests")));
        }
        Ok(Permit {
            in_flight: self.clone(),
        })
    }

    /// Acquires a permit of `team` for a request that has a [`Permit`] already.
    ///
    /// # Errors
    ///
    /// `gateway_busy` if the limit of the team is reached.
    pub(crate) fn acquire_team(self: &Arc<Self>, team: &TeamId) -> Result<TeamPermit, Refusal> {
        let acquired = self.teams.with(team, |teams| match teams.get_mut(team) {
            Some(count) if *count >= self.team_limit => false,
            Some(count) => {
                *count += 1;
                true
            }
            None => {
                teams.insert(team.clone(), 1);
                true
            }
        });
        if !acquired {
            self.metrics.count("requests.team_overloaded", 1);
            let limit = self.team_limit;
            return Err(busy_refusal(format!("team {team} has {limit} requests")));
        }
        Ok(TeamPermit {
            in_flight: self.clone(),
            team: team.clone(),
        })
    }

    pub(super) fn release(&self) {
        self.total.fetch_sub(1, Ordering::AcqRel);
    }

    pub(super) fn release_team(&self, team: &TeamId) {
        self.teams.with(team, |teams| {
            let Some(count) = teams.get_mut(team) else {
                return;
            };
            *count -= 1;
            if *count == 0 {
                teams.remove(team);
            }
        });
    }
}

fn busy_refusal(subject: String) -> Refusal {
    let message =
        format!("{subject} in flight, which is the limit; this request was not forwarded");
    Refusal::new(ResultCode::GatewayBusy, message).retry_after(RETRY_AFTER)
}
