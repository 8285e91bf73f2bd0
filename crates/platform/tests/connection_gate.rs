//! Connections that are held back until they are admitted, so that a call reaches no process that started after a certain event.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Duration;

use axum::Router;
use axum::routing::get;
use hyper::Method;
use lagoon_core::unit::Millis;
use lagoon_platform::{Call, CallEffect, ClientSettings, ConnectionGate, PlatformError, Transport};
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

cases! {
    /// Guards against a start that reaches a process that started after the ownership was last confirmed, and that is taken for one
    /// that may have had an effect.
    a_call_on_a_connection_that_is_not_admitted_is_not_sent {
        let (gate, server) = (ConnectionGate::closed(), Server::spawn().await);
        gate.admit_before(Instant::now());
        let error = server.call(&transport(&gate)).await.unwrap_err();
        assert_eq!(error.effect(), CallEffect::None, "{error}");
        assert_eq!(server.calls(), 0);
    }

    /// Guards against starts that are never sent because no connection is admitted.
    a_call_is_sent_once_its_connection_is_admitted {
        let (gate, server) = (ConnectionGate::closed(), Server::spawn().await);
        let transport = transport(&gate);
        let (result, ()) = tokio::join!(server.call(&transport), async {
            gate.wait_for_connection().await;
            tokio::time::sleep(Duration::from_millis(2)).await;
            gate.admit_before(Instant::now());
        });
        result.unwrap();
        assert_eq!(server.calls(), 1);
    }

    /// Guards against a delay of each start: a connection that was admitted once is used again.
    a_kept_connection_is_not_held_back {
        let (gate, server) = (ConnectionGate::closed(), Server::spawn().await);
        let transport = transport(&gate);
        gate.admit_before(Instant::now() + Duration::from_secs(60));
        server.call(&transport).await.unwrap();
        let later = gate.wait_for_connection();
        server.call(&transport).await.unwrap();
        assert_eq!(server.calls(), 2);
        let held_back = tokio::time::timeout(Duration::from_millis(20), later).await;
        assert!(held_back.is_err(), "a connection was held back");
    }

    /// Guards against a gate that closes again when an earlier confirmation arrives after a later one.
    an_earlier_admission_has_no_effect {
        let (gate, server) = (ConnectionGate::closed(), Server::spawn().await);
        gate.admit_before(Instant::now() + Duration::from_secs(60));
        gate.admit_before(Instant::now());
        server.call(&transport(&gate)).await.unwrap();
    }
}
