//! Scheduler processes of one failure domain: handover, graceful stop, adoption of workers, and gang jobs over
//! several shards.

macro_rules! cluster_cases {
    ($($(#[$doc:meta])* $name:ident($processes:literal, $timing:expr): $cluster:ident => $body:block)*) => {
        $(
            $(#[$doc])*
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                #[allow(unused_mut)]
                let mut $cluster = crate::cluster::Cluster::spawn($processes, $timing).await;
                $body
                $cluster.finish().await;
            }
        )*
    };
}

mod adoption;
mod cluster;
mod hand_over;
mod reservations;
