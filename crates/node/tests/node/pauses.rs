//! Requests that arrive while a node is paused.

use std::time::Duration;

use hyper::Method;
use lagoon_standin::site::StoreFault;

use crate::cell::Cell;

const PAUSE: Duration = Duration::from_millis(800);

cases! {
    /// Guards against a request that is handled by a configuration that was replaced while the node was paused.
    requests_after_a_pause_are_handled_by_the_configuration_in_force {
        let mut cell = Cell::start(0, 0).await;
        let node = cell.add_pausable_node().await;
        cell.site.set_store_fault(StoreFault::SilentWatches);
        node.pause(PAUSE);
        tokio::time::sleep(PAUSE / 4).await;
        cell.site.configure(2, &["added"]);
        let dropped = cell.call(0, Method::GET, "/plain/", None);
        let added = cell.call(0, Method::GET, "/added/", None);
        let (dropped, added) = tokio::join!(dropped, added);
        assert_eq!((dropped.0, added.0), (404, 200));
    }

    /// Guards against a request that is handled by an earlier configuration because the store can't be read after a pause,
    /// and against refusals for as long as that lasts.
    requests_after_a_pause_are_refused_for_a_while_if_the_store_cannot_be_read {
        let mut cell = Cell::start(0, 0).await;
        let node = cell.add_pausable_node().await;
        node.pause(PAUSE);
        tokio::time::sleep(PAUSE / 4).await;
        cell.site.set_store_fault(StoreFault::Unavailable);
        tokio::time::sleep(PAUSE).await;
        let absent = "/plain/00000000000000e1";
        assert_eq!(cell.call(0, Method::GET, "/plain/", None).await.0, 503);
        cell.eventually("the known configuration is used", async |cell: &Cell| {
            cell.call(0, Method::GET, "/plain/", None).await.0 == 200
        })
        .await;
        cell.site.set_store_fault(StoreFault::None);
        cell.eventually("states are served", async |cell: &Cell| cell.state(0, absent).await == "410").await;
    }
}
