use lagoon_core::unit::{Millis, Timestamp};

use crate::advice::AdviserEndpoint;
use crate::id::MemberId;

/// Largest cost of a quick request. Queues of urgent work have such advice, and their objectives leave no time to queue
/// behind other requests.
const MAX_QUICK_COST: Millis = Millis::new(40);
/// Smallest cost of a slow request: several times the objective of urgent work.
const MIN_SLOW_COST: Millis = Millis::new(250);
/// Largest pending cost of an endpoint that takes a quick request: a few quick ones.
const MAX_PENDING_FOR_QUICK: Millis = Millis::new(60);
/// Largest pending cost of an endpoint that takes any other request. A smaller bound would let quick requests starve it.
const MAX_PENDING_FOR_OTHERS: Millis = Millis::new(30);
/// One endpoint in this many is reserved for quick requests.
const ENDPOINTS_PER_QUICK: usize = 5;

/// The members of the cell through which the adviser can be reached.
#[derive(Debug, Clone, Default)]
pub struct AdviserPool {
    endpoints: Vec<AdviserEndpoint>,
}

impl AdviserPool {
    /// Replaces the members that can reach the adviser.
    pub fn set(&mut self, members: &[MemberId]) {
        self.endpoints
            .retain(|endpoint| members.contains(&endpoint.member));
        for member in members {
            if !self
                .endpoints
                .iter()
                .any(|endpoint| endpoint.member == *member)
            {
                self.endpoints.push(AdviserEndpoint::new(member.clone()));
            }
        }
    }

    /// Returns the endpoint with the least expected delay; `None` if the request has to wait.
    ///
    /// At most half of the endpoints take slow requests, and some take only quick ones. A request that is not quick goes
    /// to an endpoint with little pending, so that a stream of shorter requests does not starve it.
    pub fn find(&mut self, cost: Millis, now: Timestamp) -> Option<&mut AdviserEndpoint> {
        let total = self.endpoints.len();
        let count = |from: Millis| {
            self.endpoints
                .iter()
                .filter(|endpoint| endpoint.pending >= from)
                .count()
        };
        let reserved = if total > 1 {
            (total / ENDPOINTS_PER_QUICK).max(1)
        } else {
            0
        };
        let is_quick = cost <= MAX_QUICK_COST;
        let is_full = (cost >= MIN_SLOW_COST && count(MIN_SLOW_COST) >= total.div_ceil(2))
            || (!is_quick && count(MAX_PENDING_FOR_QUICK) + reserved >= total);
        if is_full {
            return None;
        }
        let is_free = |endpoint: &&mut AdviserEndpoint| match is_quick {
            true => endpoint.pending <= MAX_PENDING_FOR_QUICK,
            false => endpoint.pending <= MAX_PENDING_FOR_OTHERS,
        };
        let available = self
            .endpoints
            .iter_mut()
            .filter(|endpoint| !endpoint.is_backing_off(now));
        let by_delay = |a: &&mut AdviserEndpoint, b: &&mut AdviserEndpoint| {
            a.expected_delay_ms().total_cmp(&b.expected_delay_ms())
        };
        available.filter(is_free).min_by(by_delay)
    }

    /// Returns the endpoint of a member.
    pub fn of(&mut self, member: &MemberId) -> Option<&mut AdviserEndpoint> {
        self.endpoints
            .iter_mut()
            .find(|endpoint| endpoint.member == *member)
    }
}
