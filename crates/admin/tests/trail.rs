//! Size limits of the audit trail in the store.

mod util;

use crate::util::Session;

const COMMANDS: usize = 12;
const SEGMENT_BYTES: usize = 2 << 10;
const SEGMENTS: usize = 3;

/// Guards against a trail that grows without bound or deletes the latest records.
#[tokio::test]
async fn stays_bounded() {
    let settings = "audit: {segment_bytes: 2KiB, segments: 3}\n";
    let mut session = Session::start(settings).await;
    for n in 1..=COMMANDS {
        let applied = session
            .command("ana", &format!("c{n}"), &format!("set queue.items {n}"))
            .await;
        assert_eq!(applied["recorded"], true, "{applied}");
    }
    let list = session.store_client().list("audit/").await.unwrap();
    assert!(
        list.entries.len() <= SEGMENTS,
        "{} segments",
        list.entries.len()
    );
    for entry in &list.entries {
        assert!(
            entry.value.len() <= SEGMENT_BYTES,
            "{} bytes",
            entry.value.len()
        );
    }
    let latest = session.query("show changes limit 1").await;
    assert_eq!(latest["rows"][0]["command"], format!("c{COMMANDS}"));
    session.finish().await;
}
