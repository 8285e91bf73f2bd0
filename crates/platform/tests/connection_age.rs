//! The age of the connection of an unanswered call, by which a caller knows which process can have received it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use axum::Router;
use axum::routing::get;
use hyper::Method;
use lagoon_core::unit::Millis;
use lagoon_platform::{Call, ClientSettings, Transport};
use tokio::net::TcpListener;

/// Time for which the first connection is kept before the call that is not answered.
const KEPT: Duration = Duration::from_millis(400);
/// Request timeout of the transport.
const TIMEOUT: Duration = Duration::from_millis(100);

async fn serve() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let app = Router::new()
        .route("/answered", get(async || "text"))
        .route("/unanswered", get(std::future::pending::<String>));
    tokio::spawn(async move { axum::serve(listener, app).await });
    address
}

fn transport() -> Transport {
    Transport::new(ClientSettings {
        request_timeout: Millis::new(TIMEOUT.as_millis() as u64),
        ..ClientSettings::default()
    })
}

/// Returns the age of the connection of a call that is not answered.
async fn age_at_timeout(transport: &Transport, address: SocketAddr) -> Option<Millis> {
    let call = Call::new(Method::GET, &address.into(), "/unanswered");
    transport.send(call).await.unwrap_err().connection_age()
}

/// Defines each named case as a test on a runtime.
macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident $body:block)*) => {
        $($(#[$meta])* #[tokio::test] async fn $name() $body)*
    };
}

cases! {
    /// Guards against a kept connection that counts as a new one, after which a lost task waits for 22 s.
    a_kept_connection_has_the_age_since_it_was_established {
        let (transport, address) = (transport(), serve().await);
        let answered = Call::new(Method::GET, &address.into(), "/answered");
        transport.send(answered).await.unwrap();
        tokio::time::sleep(KEPT).await;
        let age = age_at_timeout(&transport, address).await.unwrap();
        assert!(age.to_duration() >= KEPT + TIMEOUT, "{age}");
    }

    /// Guards against a new connection that counts as an earlier one, after which a task may run twice.
    a_new_connection_is_as_old_as_its_call {
        let (transport, address) = (transport(), serve().await);
        tokio::time::sleep(KEPT).await;
        let called = Instant::now();
        let age = age_at_timeout(&transport, address).await.unwrap();
        assert!(age.to_duration() <= called.elapsed(), "{age}");
    }

    /// Guards against the same when the kept connections are in use.
    a_second_connection_is_as_old_as_its_call {
        let (transport, address) = (transport(), serve().await);
        let waiting = Call::new(Method::GET, &address.into(), "/unanswered").extra_timeout(Millis::new(2_000));
        let first = transport.clone();
        tokio::spawn(async move { first.send(waiting).await });
        tokio::time::sleep(KEPT).await;
        let called = Instant::now();
        let age = age_at_timeout(&transport, address).await.unwrap();
        assert!(age.to_duration() <= called.elapsed(), "{age}");
    }
}
