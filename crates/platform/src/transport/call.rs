use bytes::Bytes;
use hyper::Method;
use lagoon_core::unit::Millis;
use serde::Serialize;
use smallvec::SmallVec;

use crate::transport::Endpoint;

/// One request before it is sent.
#[derive(Debug)]
pub struct Call {
    pub(crate) method: Method,
    pub(crate) uri: String,
    pub(crate) body: Bytes,
    pub(crate) extra_timeout: Millis,
    pub(crate) headers: SmallVec<[(&'static str, String); 2]>,
}

impl Call {
    /// Prepares a call without a body; `target` is the path and query below the endpoint.
    pub fn new(method: Method, endpoint: &Endpoint, target: &str) -> Self {
        Self {
            method,
            uri: format!("http://{endpoint}{target}"),
            body: Bytes::new(),
            extra_timeout: Millis::ZERO,
            headers: SmallVec::new(),
        }
    }

    /// Adds a JSON body.
    pub fn json<T: Serialize>(mut self, body: &T) -> Self {
        self.body = serde_json::to_vec(body)
            .expect("request types have string keys")
            .into();
        self
    }

    /// Extends the request time by the time that the callee is asked to wait.
    pub fn extra_timeout(mut self, time: Millis) -> Self {
        self.extra_timeout = time;
        self
    }

    /// Adds a header; `name` is in lower case.
    pub fn header(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }

    /// Returns the call as it appears in errors.
    pub fn describe(&self) -> String {
        format!("{} {}", self.method, self.uri)
    }
}
