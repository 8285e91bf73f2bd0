use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use lagoon_node::{Node, NodeSettings};
use lagoon_process::Clock;
use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

/// A node whose tasks all run on one thread, so that it can be paused as a whole.
pub(crate) struct NodeThread {
    handle: Handle,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl NodeThread {
    pub(crate) fn spawn(settings: NodeSettings) -> Self {
        let (handle_tx, handle) = mpsc::channel();
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async move {
                let _node = Node::bind(settings, Clock::anchored()).await.unwrap();
                handle_tx.send(Handle::current()).unwrap();
                let _ = stopped.await;
            });
        });
        Self {
            handle: handle.recv().unwrap(),
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    /// Pauses the node, beginning as soon as its current step has ended.
    pub(crate) fn pause(&self, time: Duration) {
        self.handle.spawn(async move { thread::sleep(time) });
    }
}

impl Drop for NodeThread {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
