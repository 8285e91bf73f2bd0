use std::sync::Arc;

use axum::Router;
use hyper::Request;
use hyper::body::Incoming;
use hyper::service::Service;
use hyper_util::service::TowerToHyperService;

use crate::server::connection::Connection;

/// Router that adds the handle of its connection to each request.
#[derive(Debug)]
pub(super) struct ConnectionService {
    router: TowerToHyperService<Router>,
    connection: Arc<Connection>,
}

impl ConnectionService {
    pub(super) fn new(router: Router, connection: Arc<Connection>) -> Self {
        Self {
            router: TowerToHyperService::new(router),
            connection,
        }
    }
}

impl Service<Request<Incoming>> for ConnectionService {
    type Response = <TowerToHyperService<Router> as Service<Request<Incoming>>>::Response;
    type Error = <TowerToHyperService<Router> as Service<Request<Incoming>>>::Error;
    type Future = <TowerToHyperService<Router> as Service<Request<Incoming>>>::Future;

    fn call(&self, mut req: Request<Incoming>) -> Self::Future {
        req.extensions_mut().insert(self.connection.clone());
        self.router.call(req)
    }
}
