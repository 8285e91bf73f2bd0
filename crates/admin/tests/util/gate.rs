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

/// What happens to writes of one kind, which the fault switches of the store can't pick out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Loss {
    /// The next write of the policy takes effect, but its answer is lost.
    NextAnswer,
    /// Every write of the policy is lost before it reaches the store, and the sender can't tell.
    EveryRequest,
    /// This document is written just before the next write of the policy, as by another admin process.
    Overtaken(String),
    /// Every write of the audit trail is refused.
    NoTrail,
}

/// Passes calls on to the store.
#[derive(Debug)]
pub(crate) struct Gate {
    address: SocketAddr,
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    store: SocketAddr,
    loss: Mutex<Option<Loss>>,
    client: Client<HttpConnector, Body>,
}

impl Gate {
    pub(crate) async fn bind(store: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let inner = Arc::new(Inner {
            store,
            loss: Mutex::default(),
            client: Client::builder(TokioExecutor::new()).build_http(),
        });
        let router = Router::new().fallback(pass).with_state(inner.clone());
        tokio::spawn(async move { axum::serve(listener, router).await.unwrap() });
        Self { address, inner }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn lose(&self, loss: impl Into<Option<Loss>>) {
        *self.inner.loss.lock().unwrap() = loss.into();
    }
}

impl Inner {
    /// Returns the loss that applies to a write; those for one write are used up.
    fn take_loss(&self, target: &str) -> Option<Loss> {
        let mut loss = self.loss.lock().unwrap();
        match *loss {
            Some(Loss::NoTrail) => loss.clone().filter(|_| target.starts_with("/kv/audit")),
            _ if target != "/kv/policy" => None,
            Some(Loss::EveryRequest) => loss.clone(),
            _ => loss.take(),
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
            // Answered before anything was done, like a store that is down.
            Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        }
    }
}

async fn pass(State(gate): State<Arc<Inner>>, req: Request) -> Response {
    let target = req.uri().path_and_query().unwrap().as_str().to_owned();
    let method = req.method().as_str().to_owned();
    let body = to_bytes(req.into_body(), MAX_BODY).await.unwrap();
    let loss = (method == "PUT").then(|| gate.take_loss(&target)).flatten();
    match loss {
        Some(Loss::NoTrail) => return StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Some(Loss::EveryRequest) => return StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        Some(Loss::Overtaken(other)) => {
            gate.send("PUT", "/kv/policy", Body::from(other)).await;
        }
        Some(Loss::NextAnswer) => {
            gate.send(&method, &target, Body::from(body)).await;
            return StatusCode::INTERNAL_SERVER_ERROR.into_response();
        }
        None => {}
    }
    gate.send(&method, &target, Body::from(body)).await
}
