//! Connections that are held back until they are admitted, so that a call reaches no process that started after a certain event.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Duration;

use axum::Router;
use axum::routing::get;
use hyper::Method;
use lagoon_core::unit::Millis;
use lagoon_platform::{
    Admission, Call, CallEffect, ClientSettings, ConnectionGate, ErrorKind, PlatformError,
    Transport,
};
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Request timeout of the transport.
const TIMEOUT: Millis = Millis::new(150);

struct Server {
    address: SocketAddr,
    calls: Arc<AtomicUsize>,
}

impl Server {
    async fn spawn() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let calls = Arc::new(AtomicUsize::new(0));
        let counter = calls.clone();
        let answer = async move || {
            counter.fetch_add(1, Relaxed);
            "text"
        };
        let app = Router::new().route("/", get(answer));
        tokio::spawn(async move { axum::serve(listener, app).await });
        Self { address, calls }
    }

    async fn call(&self, transport: &Transport) -> Result<(), PlatformError> {
        let call = Call::new(Method::GET, &self.address.into(), "/");
        transport.send(call).await.map(|_| ())
    }

    fn calls(&self) -> usize {
        self.calls.load(Relaxed)
    }
}

fn transport(gate: &ConnectionGate) -> Transport {
    Transport::new(ClientSettings {
        request_timeout: TIMEOUT,
        gate: Some(gate.clone()),
        ..ClientSettings::default()
    })
}

/// Defines each named case as a test on a runtime.
macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident $body:block)*) => {
        $($(#[$meta])* #[tokio::test] async fn $name() $body)*
    };
}

/// Admits the connections that were begun after `begun_after` and established before `established_before`.
fn admit(gate: &ConnectionGate, begun_after: Instant, established_before: Instant) {
    gate.admit(|_| {
        Some(Admission {
            begun_after,
            established_before,
        })
    });
}

/// Calls the server while `decide` runs, which begins when a connection is held back.
async fn call_and(
    gate: &ConnectionGate,
    server: &Server,
    decide: impl AsyncFnOnce(),
) -> Result<(), PlatformError> {
    let transport = transport(gate);
    let decide = async {
        gate.wait_for_connection().await;
        decide().await;
    };
    tokio::join!(server.call(&transport), decide).0
}

cases! {
    /// Guards against a start that reaches a process that started after the ownership was last confirmed, and that is taken for one
    /// that may have had an effect.
    a_call_on_a_connection_that_is_not_admitted_is_not_sent {
        let (gate, server) = (ConnectionGate::default(), Server::spawn().await);
        let begun = Instant::now();
        let result = call_and(&gate, &server, async || admit(&gate, begun, begun)).await;
        assert_eq!(result.unwrap_err().effect(), CallEffect::None);
        assert_eq!(server.calls(), 0);
    }

    /// Guards against a start that was decided for an earlier process and waits until its time-out, or reaches the later one.
    a_call_that_was_begun_before_is_refused {
        let (gate, server) = (ConnectionGate::default(), Server::spawn().await);
        let called_at = Instant::now();
        let later = async || {
            let now = Instant::now();
            admit(&gate, now, now);
        };
        let error = call_and(&gate, &server, later).await.unwrap_err();
        assert_eq!(*error.kind(), ErrorKind::NotAdmitted);
        assert!(called_at.elapsed() < TIMEOUT.to_duration(), "{:?}", called_at.elapsed());
        assert_eq!(server.calls(), 0);
    }

    /// Guards against starts that are never sent because no connection is admitted.
    a_call_is_sent_once_its_connection_is_admitted {
        let (gate, server) = (ConnectionGate::default(), Server::spawn().await);
        let begun = Instant::now();
        let later = async || {
            tokio::time::sleep(Duration::from_millis(2)).await;
            admit(&gate, begun, Instant::now());
        };
        call_and(&gate, &server, later).await.unwrap();
        assert_eq!(server.calls(), 1);
        assert!(gate.held_back().is_empty());
    }

    /// Guards against a delay of each start: a connection that was admitted once is used again.
    a_kept_connection_is_not_held_back {
        let (gate, server) = (ConnectionGate::default(), Server::spawn().await);
        let transport = transport(&gate);
        let begun = Instant::now();
        let (first, ()) = tokio::join!(server.call(&transport), async {
            gate.wait_for_connection().await;
            tokio::time::sleep(Duration::from_millis(2)).await;
            admit(&gate, begun, Instant::now());
        });
        first.unwrap();
        server.call(&transport).await.unwrap();
        assert_eq!(server.calls(), 2);
    }
}
