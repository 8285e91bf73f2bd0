use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use lagoon_admin::{Admin, AdminSettings};
use lagoon_platform::{ClientSettings, StoreClient, Transport};
use lagoon_process::Clock;
use lagoon_standin::store::{StoreHandle, StoreSettings};
use serde_json::{Value, json};

use crate::util::{Client, FakeScheduler, StoreProxy};

/// Fields whose values differ between runs.
const VARYING_FIELDS: &[&str] = &["at", "age", "age_ms"];
const POLL: Duration = Duration::from_millis(20);
const MAX_POLLS: usize = 500;

/// A store, schedulers, an admin process and the transcript of the operators' requests.
pub(crate) struct Session {
    pub(crate) store: StoreHandle,
    pub(crate) store_proxy: StoreProxy,
    pub(crate) schedulers: Vec<FakeScheduler>,
    admin: Admin,
    settings: String,
    client: Client,
    transcript: String,
}

impl Session {
    /// Starts two schedulers, only the first of which is listed in the settings.
    pub(crate) async fn start(extra_settings: &str) -> Self {
        let store = StoreHandle::bind(StoreSettings::default()).await.unwrap();
        let store_proxy = StoreProxy::bind(store.address()).await;
        let s2 = FakeScheduler::bind("s2", "cluj:1", &[]);
        let s1 = FakeScheduler::bind("s1", "cluj:0", &[&s2]);
        let settings = format!(
            "process: PROCESS\nfailure_domain: cluj\nlisten: 127.0.0.1:0\nstore: {}\n\
             schedulers: [\"{}\"]\noperators:\n\
             - {{operator: ana, token: token-of-ana-0123}}\n\
             - {{operator: ben, token: token-of-ben-0123}}\n{extra_settings}",
            store_proxy.address(),
            s1.address()
        );
        let admin = bind("admin-1", &settings).await;
        let mut session = Self {
            store,
            store_proxy,
            schedulers: vec![s1, s2],
            admin,
            settings,
            client: Client::new(),
            transcript: String::new(),
        };
        session.wait_for(2, "show processes").await;
        session
    }

    /// Replaces the admin process with a new one that has no state but its settings.
    pub(crate) async fn replace_admin(&mut self) {
        let next = bind("admin-2", &self.settings).await;
        assert!(std::mem::replace(&mut self.admin, next).stop().await);
        self.wait_for(2, "show processes").await;
    }

    /// Repeats a query until it returns `rows` rows. The query is not added to the transcript.
    pub(crate) async fn wait_for(&mut self, rows: usize, text: &str) {
        for _ in 0..MAX_POLLS {
            let (_, answer) = self.post("ana", "/v1/query", &json!({"text": text})).await;
            if answer["total"] == json!(rows) {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("{text} never had {rows} rows");
    }

    /// Returns a client of the store that bypasses the proxy.
    pub(crate) fn store_client(&self) -> StoreClient {
        let transport = Transport::new(ClientSettings::default());
        StoreClient::new(self.store.endpoint(), transport)
    }

    /// Sends a request and adds it and its response to the transcript.
    pub(crate) async fn send(&mut self, operator: &str, path: &str, body: Value) -> Value {
        let (status, answer) = self.post(operator, path, &body).await;
        let mut shown = answer.clone();
        redact(&mut shown);
        let shown = serde_json::to_string_pretty(&shown).unwrap();
        writeln!(
            self.transcript,
            "{operator}: POST {path} {body}\n{status} {shown}\n"
        )
        .unwrap();
        answer
    }

    /// Previews a command and applies it with the confirmation code of the preview.
    pub(crate) async fn command(&mut self, operator: &str, id: &str, text: &str) -> Value {
        let preview = self
            .send(operator, "/v1/preview", json!({"text": text}))
            .await;
        self.apply(operator, id, text, &preview).await
    }

    /// Applies a command with the confirmation code of an earlier preview.
    pub(crate) async fn apply(
        &mut self,
        operator: &str,
        id: &str,
        text: &str,
        preview: &Value,
    ) -> Value {
        let confirmation = &preview["confirmation"];
        let body = json!({"text": text, "confirmation": confirmation, "command_id": id});
        self.send(operator, "/v1/apply", body).await
    }

    pub(crate) async fn query(&mut self, text: &str) -> Value {
        self.send("ana", "/v1/query", json!({"text": text})).await
    }

    /// Adds a remark to the transcript.
    pub(crate) fn add_remark(&mut self, text: &str) {
        writeln!(self.transcript, "# {text}\n").unwrap();
    }

    /// Stops all processes and returns the transcript, with addresses replaced by names.
    pub(crate) async fn finish(self) -> String {
        assert!(self.admin.stop().await);
        self.store.stop().await;
        let mut text = self.transcript;
        for (i, scheduler) in self.schedulers.iter().enumerate() {
            let name = format!("address-of-s{}", i + 1);
            text = text.replace(&scheduler.address().to_string(), &name);
        }
        let store_proxy: SocketAddr = self.store_proxy.address();
        text.replace(&store_proxy.to_string(), "address-of-the-store")
    }

    async fn post(&self, operator: &str, path: &str, body: &Value) -> (u16, Value) {
        let address = self.admin.address();
        self.client.post(address, operator, path, body).await
    }
}

async fn bind(process: &str, settings: &str) -> Admin {
    let text = settings.replace("PROCESS", process);
    let settings: AdminSettings =
        lagoon_process::settings::parse(Path::new("admin.yaml"), &text).unwrap();
    Admin::bind(settings, Clock::anchored()).await.unwrap()
}

fn redact(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                match VARYING_FIELDS.contains(&name.as_str()) {
                    true => *value = json!("[varies]"),
                    false => redact(value),
                }
            }
        }
        Value::Array(items) => items.iter_mut().for_each(redact),
        _ => {}
    }
}
