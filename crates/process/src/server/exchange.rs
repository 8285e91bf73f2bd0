use std::sync::Arc;

use lagoon_core::unit::Bytes;

use crate::server::connection::Connection;
use crate::server::reserved_memory::ReservedMemory;
use crate::server::standing::Standing;

/// A request on a connection in state `S`, from the end of its head until its response is written.
#[derive(Debug)]
pub(super) struct Exchange<S> {
    open: OpenExchange,
    _state: S,
}

/// The body arrives; the connection may be closed to make room for another.
#[derive(Debug)]
pub(super) struct Receiving;

/// The request is complete, and its response is prepared or written.
#[derive(Debug)]
pub(super) struct Processing;

/// Ends the request when dropped, and gives its memory back.
#[derive(Debug)]
struct OpenExchange {
    connection: Arc<Connection>,
    standing: Standing,
    memory: ReservedMemory,
}

impl Exchange<Receiving> {
    /// Begins the exchange of a request whose head has arrived.
    pub(super) fn begin(connection: Arc<Connection>) -> Self {
        connection.end_head();
        let open = OpenExchange {
            memory: ReservedMemory::new(connection.clone()),
            connection,
            standing: Standing::New,
        };
        let _state = Receiving;
        Self { open, _state }
    }

    /// Increases the reserved memory to `size`; see [`ReservedMemory::grow`].
    pub(super) async fn reserve(&mut self, size: Bytes) -> bool {
        self.open.memory.grow(size).await
    }

    /// Ends the body. From now on the server no longer waits for the client.
    pub(super) fn complete(self) -> Exchange<Processing> {
        let mut open = self.open;
        open.standing = Standing::Served;
        open.connection.set_waits_for_client(false);
        let _state = Processing;
        Exchange { open, _state }
    }
}

impl Drop for OpenExchange {
    fn drop(&mut self) {
        self.connection.end_request(self.standing);
    }
}
