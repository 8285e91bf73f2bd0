//! Classification of failed calls by their possible effect.

use std::net::SocketAddr;

use axum::Router;
use axum::http::StatusCode;
use axum::routing::post;
use lagoon_core::unit::Millis;
use lagoon_platform::executor::RunRequest;
use lagoon_platform::{CallEffect, ClientSettings, Endpoint, ErrorKind, ExecutorClient, Transport};
use tokio::net::{TcpListener, TcpSocket};

async fn serve(app: Router) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, app).await });
    address
}

/// Returns an address that refuses connections. The port stays bound, so that no parallel test gets it.
async fn closed_port() -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    tokio::spawn(async move {
        std::future::pending::<()>().await;
        drop(socket);
    });
    address
}

async fn closes_connections() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.readable().await.unwrap();
            drop(stream);
        }
    });
    address
}

async fn answers(status: StatusCode) -> SocketAddr {
    serve(Router::new().route("/run", post(async move || (status, "text")))).await
}

async fn never_answers() -> SocketAddr {
    serve(Router::new().route("/run", post(std::future::pending::<String>))).await
}

async fn run(address: SocketAddr) -> Result<String, lagoon_platform::PlatformError> {
    let settings = ClientSettings {
        request_timeout: Millis::new(300),
        ..ClientSettings::default()
    };
    let client = ExecutorClient::new(Endpoint::from(address), Transport::new(settings), 1);
    let req = RunRequest {
        request: "r1".into(),
        payload: String::new(),
    };
    client.run(&req).await
}

macro_rules! failed_calls {
    ($($name:ident: $server:expr => $kind:pat, $effect:expr;)*) => {
        $(
            /// Guards against a repeat of a call that took effect, and against no repeat of one that did not.
            #[tokio::test]
            async fn $name() {
                let error = run($server.await).await.unwrap_err();
                assert!(matches!(error.kind(), $kind), "{error}");
                assert_eq!(error.effect(), $effect);
            }
        )*
    };
}

failed_calls! {
    no_listener: closed_port() => ErrorKind::Unreachable(_), CallEffect::None;
    connection_closed: closes_connections() => ErrorKind::ConnectionLost(_), CallEffect::Unknown;
    busy: answers(StatusCode::SERVICE_UNAVAILABLE) => ErrorKind::Refused { status: 503, .. }, CallEffect::None;
    internal_error: answers(StatusCode::INTERNAL_SERVER_ERROR) => ErrorKind::Refused { status: 500, .. }, CallEffect::Unknown;
    no_answer: never_answers() => ErrorKind::Timeout { sent: true }, CallEffect::Unknown;
}

/// Guards against a truncated or altered response body.
#[tokio::test]
async fn complete_response() {
    let response = run(answers(StatusCode::OK).await).await;
    assert_eq!(response.unwrap(), "text");
}
