use std::collections::BTreeMap;

use lagoon_adapter::store::{Event, Revision, StoreItem};
use lagoon_jobs::id::MemberId;

use crate::cell::{Keys, MemberEntry, OwnerEntry};

/// Factor by which a member has to be stronger than the owner to take over the cell. A smaller gain does not outweigh the
/// interruption of placement.
const MIN_STRENGTH_RATIO: f64 = 2.0;

/// Members and owner of the cell as last read from the store.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct CellView {
    /// Whether the store has been read.
    pub(crate) is_loaded: bool,
    pub(crate) owner: Option<OwnerEntry>,
    /// Revision of the owner's key; `None` if the key does not exist or another member reported the owner.
    pub(crate) owner_revision: Option<Revision>,
    pub(crate) members: BTreeMap<MemberId, MemberEntry>,
}

impl CellView {
    pub(crate) fn from_items(items: &[StoreItem]) -> Self {
        let mut view = Self {
            is_loaded: true,
            ..Self::default()
        };
        items.iter().for_each(|item| view.write(item));
        view
    }

    pub(crate) fn apply(&mut self, event: &Event) {
        match event {
            Event::Written(item) => self.write(item),
            Event::Removed(key) if key == Keys::OWNER => {
                self.owner = None;
                self.owner_revision = None;
            }
            Event::Removed(key) => {
                let member = key
                    .strip_prefix(Keys::MEMBERS)
                    .and_then(|id| id.parse().ok());
                if let Some(member) = member {
                    self.members.remove::<MemberId>(&member);
                }
            }
        }
    }

    /// Returns how many members precede `member` when the cell needs an owner: stronger ones, and among equally strong ones
    /// those closer to the store, because the owner's writes wait for each other.
    pub(crate) fn claim_rank(&self, member: &MemberId) -> usize {
        let Some(own) = self.members.get(member) else {
            return self.members.len();
        };
        let comes_before = |other: &&MemberEntry| {
            let by_strength = own.strength.total_cmp(&other.strength);
            let by_distance = other.store_distance.cmp(&own.store_distance);
            let order = by_strength.then(by_distance);
            !other.leaving && order.then_with(|| other.member.cmp(&own.member)).is_lt()
        };
        self.members.values().filter(comes_before).count()
    }

    /// Returns true if a registered member is so much stronger than `member` that it should own the cell instead.
    pub(crate) fn has_stronger(&self, member: &MemberId) -> bool {
        let Some(own) = self.members.get(member) else {
            return false;
        };
        let is_stronger = |other: &MemberEntry| {
            other.strength > own.strength && other.strength >= own.strength * MIN_STRENGTH_RATIO
        };
        let mut others = self.members.values();
        others.any(|other| !other.leaving && is_stronger(other))
    }

    /// Sets the owner that another member reported if its epoch is later; returns true if it is.
    pub(crate) fn update_owner(&mut self, owner: OwnerEntry) -> bool {
        let is_later = self
            .owner
            .as_ref()
            .is_none_or(|known| known.epoch < owner.epoch);
        if is_later {
            self.owner = Some(owner);
            self.owner_revision = None;
        }
        is_later
    }

    fn write(&mut self, item: &StoreItem) {
        if item.key == Keys::OWNER {
            match serde_json::from_slice(&item.value) {
                Ok(owner) => {
                    self.owner = Some(owner);
                    self.owner_revision = Some(item.revision);
                }
                Err(e) => {
                    tracing::error!("cell: stored owner entry is malformed, it is ignored: {e}")
                }
            }
        } else if item.key.starts_with(Keys::MEMBERS) {
            match serde_json::from_slice::<MemberEntry>(&item.value) {
                Ok(entry) => {
                    self.members.insert(entry.member.clone(), entry);
                }
                Err(e) => {
                    tracing::error!(key = %item.key, "cell: stored member entry is malformed, it is ignored: {e}")
                }
            }
        }
    }
}
