use bytes::Bytes;
use hyper::Method;
use lagoon_core::unit::Millis;
use serde::Serialize;
use smallvec::SmallVec;

use crate::transport::Endpoint;

/// A request that has not been sent.
#[derive(Debug)]
pub struct Call {
    pub(crate) method: Method,
    pub(crate) uri: String,
    pub(crate) body: Bytes,
    pub(crate) extra_timeout: Millis,
    pub(crate) headers: SmallVec<[(&'static str, String); 2]>,
}

impl Call {
    /// Returns a call without a body; `target` is the path and query relative to the endpoint.
    pub fn new(method: Method, endpoint: &Endpoint, target: &str) -> Self {
        Self {
            method,
            uri: format!("http://{endpoint}{target}"),
            body: Bytes::new(),
            extra_timeout: Millis::ZERO,
            headers: SmallVec::new(),
        }
    }

    /// Sets a JSON body.
    pub fn json<T: Serialize>(mut self, body: &T) -> Self {
        self.body = serde_json::to_vec(body)
            .expect("request types have string keys")
            .into();
        self
    }

    /// Extends the request timeout by the time that the server is asked to wait.
    pub fn extra_timeout(mut self, time: Millis) -> Self {
        self.extra_timeout = time;
        self
    }

    /// Adds a header; `name` must be lower case.
    pub fn header(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }

    /// Returns the method and URI, for errors.
    pub fn describe(&self) -> String {
        format!("{} {}", self.method, self.uri)
    }
}
