use lagoon_core::unit::{Millis, Timestamp};

use crate::advice::Lane;
use crate::id::MemberId;

/// A question up to this cost is quick: queues of urgent work have such advice, and their objectives leave no time to
/// wait behind others.
const QUICK: Millis = Millis::new(40);
/// A question from this cost on is slow: several times the objective of urgent work.
const SLOW: Millis = Millis::new(250);
/// Open questions that a quick one waits for; a few quick ones.
const QUICK_OPEN: Millis = Millis::new(60);
/// Open questions that any other one waits for, so that quick ones do not keep it from the lane for ever.
const LONG_OPEN: Millis = Millis::new(30);
/// One lane in so many is kept for quick questions.
const QUICK_LANES: usize = 5;

/// The members of the cell that can ask the adviser.
#[derive(Debug, Clone, Default)]
pub struct Lanes {
    lanes: Vec<Lane>,
}

impl Lanes {
    /// Sets the members that can ask.
    pub fn set(&mut self, members: &[MemberId]) {
        self.lanes.retain(|lane| members.contains(&lane.member));
        for member in members {
            if !self.lanes.iter().any(|lane| lane.member == *member) {
                self.lanes.push(Lane::new(member.clone()));
            }
        }
    }

    /// Returns the lane that answers a question soonest; `None` if it has to wait.
    ///
    /// At most half of the lanes take slow questions, and some take only quick ones. A question that is not quick goes
    /// to a lane with little open, so that a stream of shorter ones does not keep it out.
    pub fn find(&mut self, cost: Millis, now: Timestamp) -> Option<&mut Lane> {
        let total = self.lanes.len();
        let count = |from: Millis| self.lanes.iter().filter(|lane| lane.open >= from).count();
        let kept = if total > 1 {
            (total / QUICK_LANES).max(1)
        } else {
            0
        };
        let is_quick = cost <= QUICK;
        let is_full = (cost >= SLOW && count(SLOW) >= total.div_ceil(2))
            || (!is_quick && count(QUICK_OPEN) + kept >= total);
        if is_full {
            return None;
        }
        let is_free = |lane: &&mut Lane| match is_quick {
            true => lane.open <= QUICK_OPEN,
            false => lane.open <= LONG_OPEN,
        };
        let sound = self.lanes.iter_mut().filter(|lane| !lane.rests(now));
        let by_delay =
            |a: &&mut Lane, b: &&mut Lane| a.expected_delay_ms().total_cmp(&b.expected_delay_ms());
        sound.filter(is_free).min_by(by_delay)
    }

    /// Returns the lane of a member.
    pub fn of(&mut self, member: &MemberId) -> Option<&mut Lane> {
        self.lanes.iter_mut().find(|lane| lane.member == *member)
    }
}
