use hyper::Method;
use lagoon_core::unit::Millis;

use crate::error::PlatformError;
use crate::store::{
    DeleteOutcome, LeaseId, LeaseRequest, LeaseResponse, ListResponse, Precondition, PutOutcome,
    PutRequest, StoreEntry, VersionResponse, WatchResponse,
};
use crate::transport::{Call, Endpoint, Transport};
use crate::util::percent_encode;

/// Client of the key-value store.
#[derive(Debug, Clone)]
pub struct StoreClient {
    endpoint: Endpoint,
    transport: Transport,
}

impl StoreClient {
    /// Returns a client of the store at `endpoint`.
    pub fn new(endpoint: Endpoint, transport: Transport) -> Self {
        Self {
            endpoint,
            transport,
        }
    }

    /// Returns the transport, which counts the calls.
    pub fn transport(&self) -> &Transport {
        &self.transport
    }

    /// Reads a key. Returns `None` if it doesn't exist.
    pub async fn get(&self, key: &str) -> Result<Option<StoreEntry>, PlatformError> {
        let call = self.call(Method::GET, &format!("/kv/{}", percent_encode(key)));
        let response = self.transport.send(call).await?;
        match response.status {
            404 => Ok(None),
            _ => response.success().map(Some),
        }
    }

    /// Writes a key if it meets `precondition`. With a lease, the key expires when the lease does.
    pub async fn put(
        &self,
        key: &str,
        value: &str,
        precondition: Precondition,
        lease: Option<LeaseId>,
    ) -> Result<PutOutcome, PlatformError> {
        let body = PutRequest {
            value: value.to_owned(),
            expect: precondition.to_wire(),
            lease,
        };
        let call = self.call(Method::PUT, &format!("/kv/{}", percent_encode(key)));
        let response = self.transport.send(call.json(&body)).await?;
        if response.status == 409 {
            let VersionResponse { version } = response.json()?;
            let current = (version != 0).then_some(version);
            return Ok(PutOutcome::Conflict { current });
        }
        let VersionResponse { version } = response.success()?;
        Ok(PutOutcome::Written(version))
    }

    /// Deletes a key if it meets `precondition`.
    pub async fn delete(
        &self,
        key: &str,
        precondition: Precondition,
    ) -> Result<DeleteOutcome, PlatformError> {
        let mut target = format!("/kv/{}", percent_encode(key));
        if let Some(version) = precondition.to_wire() {
            target.push_str(&format!("?expect={version}"));
        }
        let response = self.transport.send(self.call(Method::DELETE, &target));
        let response = response.await?;
        match response.status {
            404 => Ok(DeleteOutcome::Absent),
            409 => {
                let VersionResponse { version: current } = response.json()?;
                Ok(DeleteOutcome::Conflict { current })
            }
            _ => {
                let VersionResponse { version } = response.success()?;
                Ok(DeleteOutcome::Deleted(version))
            }
        }
    }

    /// Returns all keys that start with `prefix`, with their values.
    pub async fn list(&self, prefix: &str) -> Result<ListResponse, PlatformError> {
        let call = self.call(
            Method::GET,
            &format!("/kv?prefix={}", percent_encode(prefix)),
        );
        self.transport.send(call).await?.success()
    }

    /// Waits up to `wait` for changes later than revision `after` to keys that start with `prefix`.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Millis,
    ) -> Result<WatchResponse, PlatformError> {
        let prefix = percent_encode(prefix);
        let wait_ms = wait.get();
        let target = format!("/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let call = self.call(Method::GET, &target).extra_timeout(wait);
        self.transport.send(call).await?.success()
    }

    /// Creates a lease that expires after `ttl` unless it is kept alive.
    pub async fn grant_lease(&self, ttl: Millis) -> Result<LeaseId, PlatformError> {
        let body = LeaseRequest { ttl_ms: ttl };
        let call = self.call(Method::POST, "/lease").json(&body);
        let LeaseResponse { lease } = self.transport.send(call).await?.success()?;
        Ok(lease)
    }

    /// Renews a lease for its full time to live. Returns false if it has expired.
    pub async fn keep_alive(&self, lease: LeaseId) -> Result<bool, PlatformError> {
        let call = self.call(Method::POST, &format!("/lease/{lease}/keepalive"));
        let response = self.transport.send(call).await?;
        match response.status {
            200 => Ok(true),
            404 => Ok(false),
            _ => Err(response.refusal()),
        }
    }

    fn call(&self, method: Method, target: &str) -> Call {
        Call::new(method, &self.endpoint, target)
    }
}
