use std::sync::Arc;

use lagoon_core::id::{FailureDomain, RequestKey, ShardId};
use lagoon_core::{Refusal, ResultCode};

use crate::routing::{RoutingTable, home_shard};

/// Finds the home shard of an idempotency key.
///
/// The result depends only on the request and on settings that are the same on all gateways of an installation, so that
/// a retry through a gateway of another failure domain reaches the shard that stores the key.
#[derive(Debug)]
pub(crate) struct HomeResolver {
    pub(crate) default_home: Option<FailureDomain>,
    pub(crate) shards: u16,
    pub(crate) table: Arc<RoutingTable>,
}

impl HomeResolver {
    /// Returns the home shard of `key`; `requested` is the failure domain that the request names.
    ///
    /// # Errors
    ///
    /// `invalid_value` if neither the request nor the settings name a failure domain, and `not_serving` if the domain
    /// has more shards than the settings say.
    pub(crate) fn shard(
        &self,
        requested: Option<FailureDomain>,
        key: &RequestKey,
    ) -> Result<ShardId, Refusal> {
        let no_home = || {
            let message = "home: expected a failure domain, because the gateway has no default_home and a retry \
                           elsewhere could not be recognized";
            Refusal::new(ResultCode::InvalidValue, message)
        };
        let domain = requested
            .or_else(|| self.default_home.clone())
            .ok_or_else(no_home)?;
        let highest = self.table.highest_shard_number(&domain);
        if highest.is_some_and(|number| number >= self.shards) {
            // A gateway with the right number of shards may have sent this key to another shard before.
            let message = format!("{domain} has more shards than the settings of this gateway");
            return Err(Refusal::new(ResultCode::NotServing, message));
        }
        Ok(home_shard(&domain, self.shards, key))
    }
}
