use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use axum::Router;
use axum::body::{Body, to_bytes};
use axum::extract::{Request, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::net::TcpListener;

const MAX_BODY: usize = 2 << 20;

/// Faults for writes of specific keys, which the fault rules of the store can't select.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum WriteFault {
    /// The next write of the policy takes effect, but its response is lost.
    LoseNextResponse,
    /// Every write of the policy is lost before it reaches the store, with an unknown outcome for the sender.
    LoseAllRequests,
    /// This document is written just before the next write of the policy, as if by another admin process.
    PrecedeNext(String),
    /// Every write of the audit trail is refused as unavailable.
    RefuseAudit,
}

/// HTTP proxy in front of the store.
#[derive(Debug)]
pub(crate) struct StoreProxy {
    address: SocketAddr,
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    store: SocketAddr,
    fault: Mutex<Option<WriteFault>>,
    client: Client<HttpConnector, Body>,
}

impl StoreProxy {
    pub(crate) async fn bind(store: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let inner = Arc::new(Inner {
            store,
            fault: Mutex::default(),
            client: Client::builder(TokioExecutor::new()).build_http(),
        });
        let router = Router::new().fallback(forward).with_state(inner.clone());
        tokio::spawn(async move { axum::serve(listener, router).await.unwrap() });
        Self { address, inner }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn set_fault(&self, fault: impl Into<Option<WriteFault>>) {
        *self.inner.fault.lock().unwrap() = fault.into();
    }
}

impl Inner {
    /// Returns the fault that applies to a write. A fault for a single write is cleared.
    fn take_fault(&self, target: &str) -> Option<WriteFault> {
        let mut fault = self.fault.lock().unwrap();
        match *fault {
            Some(WriteFault::RefuseAudit) => {
                fault.clone().filter(|_| target.starts_with("/kv/audit"))
            }
            _ if target != "/kv/policy" => None,
            Some(WriteFault::LoseAllRequests) => fault.clone(),
            _ => fault.take(),
        }
    }

    async fn send(&self, method: &str, target: &str, body: Body) -> Response {
        let req = hyper::Request::builder()
            .method(method)
            .uri(format!("http://{}{target}", self.store))
            .header("content-type", "application/json")
            .body(body)
            .unwrap();
        match self.client.request(req).await {
            Ok(answer) => answer.map(Body::new),
            // The store is unreachable, so the call had no effect.
            Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        }
    }
}

async fn forward(State(store_proxy): State<Arc<Inner>>, req: Request) -> Response {
    let target = req.uri().path_and_query().unwrap().as_str().to_owned();
    let method = req.method().as_str().to_owned();
    let body = to_bytes(req.into_body(), MAX_BODY).await.unwrap();
    let fault = (method == "PUT")
        .then(|| store_proxy.take_fault(&target))
        .flatten();
    match fault {
        Some(WriteFault::RefuseAudit) => return StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Some(WriteFault::LoseAllRequests) => {
            return StatusCode::INTERNAL_SERVER_ERROR.into_response();
        }
        Some(WriteFault::PrecedeNext(other)) => {
            store_proxy
                .send("PUT", "/kv/policy", Body::from(other))
                .await;
        }
        Some(WriteFault::LoseNextResponse) => {
            store_proxy.send(&method, &target, Body::from(body)).await;
            return StatusCode::INTERNAL_SERVER_ERROR.into_response();
        }
        None => {}
    }
    store_proxy.send(&method, &target, Body::from(body)).await
}
