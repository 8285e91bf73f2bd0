use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use hyper::Uri;
use serde::{Deserialize, Serialize};

/// Address of a server: host, port and optional path prefix, such as `127.0.0.1:7000/w/w1`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Endpoint(Arc<str>);

impl Endpoint {
    /// Returns this endpoint with `path` appended.
    pub fn join(&self, path: &str) -> Self {
        Self(format!("{}/{}", self.0, path.trim_matches('/')).into())
    }
}

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Endpoint {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || {
            format!(
                "invalid endpoint {text:?}: expected an address with a port, such as 127.0.0.1:7000"
            )
        };
        let address = text.strip_prefix("http://").unwrap_or(text);
        let address = address.trim_end_matches('/');
        let uri: Uri = format!("http://{address}/")
            .parse()
            .map_err(|_| invalid())?;
        if uri.port_u16().is_none() || uri.query().is_some() {
            return Err(invalid());
        }
        Ok(Self(address.into()))
    }
}

impl TryFrom<String> for Endpoint {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Endpoint> for String {
    fn from(endpoint: Endpoint) -> String {
        endpoint.0.as_ref().to_owned()
    }
}

impl From<std::net::SocketAddr> for Endpoint {
    fn from(address: std::net::SocketAddr) -> Self {
        Self(address.to_string().into())
    }
}
