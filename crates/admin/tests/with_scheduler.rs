//! The admin process with a real scheduler and stand-ins for the platform.

mod util;

use std::path::Path;
use std::time::Duration;

use lagoon_admin::Admin;
use lagoon_process::Clock;
use lagoon_process::settings::parse;
use lagoon_scheduler::Scheduler;
use lagoon_standin::platform::{PlatformHandle, PlatformSettings};
use lagoon_wire::v1;
use lagoon_wire::v1::scheduler_client::SchedulerClient;
use serde_json::{Value, json};

use crate::util::Client;

const POLL: Duration = Duration::from_millis(50);
const MAX_POLLS: usize = 400;

struct Cluster {
    platform: PlatformHandle,
    scheduler: Scheduler,
    admin: Admin,
    client: Client,
}

impl Cluster {
    async fn start() -> Self {
        let platform = PlatformHandle::bind(PlatformSettings::default())
            .await
            .unwrap();
        let addresses = platform.addresses();
        let text = format!(
            "process: s1\nfailure_domain: cluj\nlisten: 127.0.0.1:0\nhealth: 127.0.0.1:0\n\
             shards: 2\nstore: {}\nhost_list: {}\n",
            addresses.store, addresses.hosts
        );
        let settings = parse(Path::new("s.yaml"), &text).unwrap();
        let scheduler = Scheduler::bind(settings, Clock::anchored()).await.unwrap();
        let text = format!(
            "process: admin-1\nfailure_domain: cluj\nlisten: 127.0.0.1:0\nstore: {}\n\
             schedulers: [\"{}\"]\noperators: [{{operator: ana, token: token-of-ana-0123}}]\n",
            addresses.store,
            scheduler.address()
        );
        let settings = parse(Path::new("a.yaml"), &text).unwrap();
        let admin = Admin::bind(settings, Clock::anchored()).await.unwrap();
        let client = Client::new();
        Self {
            platform,
            scheduler,
            admin,
            client,
        }
    }

    async fn query(&self, text: &str) -> Vec<Value> {
        let body = json!({"text": text});
        let address = self.admin.address();
        let (status, answer) = self.client.post(address, "ana", "/v1/query", &body).await;
        assert_eq!(status, 200, "{answer}");
        answer["rows"].as_array().unwrap().clone()
    }

    async fn wait_for(&self, rows: usize, text: &str) -> Vec<Value> {
        let mut found = Vec::new();
        for _ in 0..MAX_POLLS {
            found = self.query(text).await;
            if found.len() == rows {
                return found;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("{text} has {found:?}, not {rows} rows");
    }

    async fn command(&self, id: &str, text: &str) -> Value {
        let body = json!({"text": text});
        let address = self.admin.address();
        let (status, preview) = self.client.post(address, "ana", "/v1/preview", &body).await;
        assert_eq!(status, 200, "{preview}");
        let confirmation = &preview["confirmation"];
        let body = json!({"text": text, "confirmation": confirmation, "command_id": id});
        let (status, applied) = self.client.post(address, "ana", "/v1/apply", &body).await;
        assert_eq!(status, 200, "{applied}");
        applied
    }

    async fn submit(&self, key: &str) {
        let url = format!("http://{}", self.scheduler.address());
        let mut client = SchedulerClient::connect(url).await.unwrap();
        let req = v1::SubmitJobRequest {
            shard: "cluj:0".to_owned(),
            key: key.to_owned(),
            spec: Some(v1::WorkSpec {
                kind: "batch".to_owned(),
                team: "red".to_owned(),
                priority: 50,
                members: 1,
                run_time_ms: 600_000,
                repeatability: "restartable".to_owned(),
                resources: Some(v1::Resources {
                    cpu_millicores: 9_000,
                    memory_bytes: 1 << 30,
                    accelerators: 0,
                }),
                placement: Some(v1::PlacementPolicy {
                    spread: "pack".to_owned(),
                    ..Default::default()
                }),
                ..Default::default()
            }),
        };
        let answer = client.submit_job(req).await.unwrap().into_inner();
        assert_eq!(answer.refusal, None);
    }

    async fn stop(self) {
        assert!(self.admin.stop().await);
        self.scheduler.stop().await;
        self.platform.stop().await;
    }
}

/// Guards against messages that the fake scheduler of the golden sessions accepts but a real scheduler does not.
#[tokio::test(flavor = "multi_thread")]
async fn commands_take_effect() {
    let cluster = Cluster::start().await;
    cluster
        .command("c1", "set team red quota cpu=64,memory=64GiB")
        .await;
    cluster
        .wait_for(1, "show processes where policy_version = 1")
        .await;
    cluster
        .wait_for(2, "show shards where state = serving")
        .await;
    cluster
        .wait_for(4, "show workers where state = leased")
        .await;
    let host = cluster.query("show workers limit 1").await[0]["host"].clone();
    let host = host.as_str().unwrap();
    cluster.command("c2", &format!("drain host {host}")).await;
    let closed = format!("show workers where host = {host} and closed ~ draining");
    cluster.wait_for(1, &closed).await;
    cluster.command("c3", &format!("undrain host {host}")).await;
    cluster.wait_for(0, &closed).await;

    // A worker fits only one of these tasks, so some jobs wait.
    for n in 0..8 {
        cluster.submit(&format!("job-{n}")).await;
    }
    cluster
        .wait_for(8, "show work where team = red and cpu = 9")
        .await;
    cluster
        .wait_for(0, "show work where state = starting")
        .await;
    let waiting = cluster
        .wait_for(1, "show work where state = waiting limit 1")
        .await;
    let work = waiting[0]["work"].as_str().unwrap();
    let why = cluster.query(&format!("why {work}")).await;
    assert_eq!(why[0]["state"], "waiting");
    let held = cluster.command("c4", "hold where state = waiting").await;
    assert!(held["changed"].as_u64() > Some(0), "{held}");
    assert!(
        !cluster
            .query("show work where state = held")
            .await
            .is_empty()
    );
    let released = cluster.command("c5", "release where state = held").await;
    assert_eq!(released["changed"], held["changed"]);
    cluster.command("c6", "cancel where team = red").await;
    cluster.wait_for(0, "show work").await;
    let results = cluster.query("show changes where result ~ applied").await;
    assert_eq!(results.len(), 6);
    cluster.stop().await;
}
