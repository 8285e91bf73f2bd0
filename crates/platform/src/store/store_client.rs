use hyper::Method;
use lagoon_core::unit::Millis;

use crate::error::PlatformError;
use crate::store::{
    DeleteOutcome, Expect, LeaseAnswer, LeaseId, LeaseRequest, ListAnswer, PutOutcome, PutRequest,
    StoreEntry, VersionAnswer, WatchAnswer,
};
use crate::transport::{Call, Endpoint, Transport};
use crate::util::encode;

/// Client of the key-value store.
#[derive(Debug, Clone)]
pub struct StoreClient {
    endpoint: Endpoint,
    transport: Transport,
}

impl StoreClient {
    /// Addresses the store at `endpoint`.
    pub fn new(endpoint: Endpoint, transport: Transport) -> Self {
        Self {
            endpoint,
            transport,
        }
    }

    /// Returns the transport with its counter.
    pub fn transport(&self) -> &Transport {
        &self.transport
    }

    /// Reads a key; `None` if it doesn't exist.
    pub async fn get(&self, key: &str) -> Result<Option<StoreEntry>, PlatformError> {
        let call = self.call(Method::GET, &format!("/kv/{}", encode(key)));
        let answer = self.transport.send(call).await?;
        match answer.status {
            404 => Ok(None),
            _ => answer.success().map(Some),
        }
    }

    /// Writes a key if `expect` is met. With a lease the key expires together with it.
    pub async fn put(
        &self,
        key: &str,
        value: &str,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<PutOutcome, PlatformError> {
        let body = PutRequest {
            value: value.to_owned(),
            expect: expect.to_wire(),
            lease,
        };
        let call = self.call(Method::PUT, &format!("/kv/{}", encode(key)));
        let answer = self.transport.send(call.json(&body)).await?;
        if answer.status == 409 {
            let VersionAnswer { version } = answer.json()?;
            let current = (version != 0).then_some(version);
            return Ok(PutOutcome::Conflict { current });
        }
        let VersionAnswer { version } = answer.success()?;
        Ok(PutOutcome::Written(version))
    }

    /// Deletes a key if `expect` is met.
    pub async fn delete(&self, key: &str, expect: Expect) -> Result<DeleteOutcome, PlatformError> {
        let mut target = format!("/kv/{}", encode(key));
        if let Some(version) = expect.to_wire() {
            target.push_str(&format!("?expect={version}"));
        }
        let answer = self.transport.send(self.call(Method::DELETE, &target));
        let answer = answer.await?;
        match answer.status {
            404 => Ok(DeleteOutcome::Absent),
            409 => {
                let VersionAnswer { version: current } = answer.json()?;
                Ok(DeleteOutcome::Conflict { current })
            }
            _ => {
                let VersionAnswer { version } = answer.success()?;
                Ok(DeleteOutcome::Deleted(version))
            }
        }
    }

    /// Reads all keys that start with `prefix`.
    pub async fn list(&self, prefix: &str) -> Result<ListAnswer, PlatformError> {
        let call = self.call(Method::GET, &format!("/kv?prefix={}", encode(prefix)));
        self.transport.send(call).await?.success()
    }

    /// Waits up to `wait` for a change below `prefix` that is later than revision `after`.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Millis,
    ) -> Result<WatchAnswer, PlatformError> {
        let prefix = encode(prefix);
        let wait_ms = wait.get();
        let target = format!("/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let call = self.call(Method::GET, &target).extra_time(wait);
        self.transport.send(call).await?.success()
    }

    /// Creates a lease that expires after `ttl` unless it is kept alive.
    pub async fn grant_lease(&self, ttl: Millis) -> Result<LeaseId, PlatformError> {
        let body = LeaseRequest { ttl_ms: ttl };
        let call = self.call(Method::POST, "/lease").json(&body);
        let LeaseAnswer { lease } = self.transport.send(call).await?.success()?;
        Ok(lease)
    }

    /// Renews a lease for its whole time; false if it has expired.
    pub async fn keep_alive(&self, lease: LeaseId) -> Result<bool, PlatformError> {
        let call = self.call(Method::POST, &format!("/lease/{lease}/keepalive"));
        let answer = self.transport.send(call).await?;
        match answer.status {
            200 => Ok(true),
            404 => Ok(false),
            _ => Err(answer.refusal()),
        }
    }

    fn call(&self, method: Method, target: &str) -> Call {
        Call::new(method, &self.endpoint, target)
    }
}
