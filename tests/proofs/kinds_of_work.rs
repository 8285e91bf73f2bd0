//! All kinds of work on a healthy cluster of two failure domains.

use serde_json::json;

use crate::harness::{BoxError, Caller, Cluster, ClusterPlan, Deduplication, batch, gang};

process_cases! {
    both_failure_domains_serve_all_kinds_of_work => serve_all_kinds();
}

/// Guards against daemons that interoperate only within one process.
async fn serve_all_kinds() -> Result<(), BoxError> {
    let cluster = Cluster::start(&ClusterPlan::two_domains()).await?;
    for domain in ["malang", "kediri"] {
        let caller = cluster.caller(domain);
        serve_request(&cluster, &caller, domain).await?;
        serve_jobs(&caller, domain).await?;
    }
    cluster.check_violations().await
}

/// Sends a request with a ticket through both gateways, and checks that it runs once and is answered twice.
async fn serve_request(cluster: &Cluster, caller: &Caller, domain: &str) -> Result<(), BoxError> {
    let ticket = caller.tickets(1).await?.remove(0);
    let dedup = Deduplication::Ticket(ticket);
    let before: u32 = cluster.platform.runs().await?.values().sum();
    for gateway in 0..2 {
        let payload = format!("echo:{domain} settles");
        let response = caller.request(gateway, &dedup, &payload).await?;
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.text("answer"), format!("{domain} settles"));
    }
    let after: u32 = cluster.platform.runs().await?.values().sum();
    assert_eq!(after - before, 1, "the repeated request ran again");
    Ok(())
}

async fn serve_jobs(caller: &Caller, domain: &str) -> Result<(), BoxError> {
    let jobs = [
        ("run", batch(2, 200, "echo:routes"), "routes"),
        ("crew", gang(2, 4, 200, "echo:part"), "part\npart"),
    ];
    for (name, job, expected) in jobs {
        let key = format!("{domain}-{name}");
        let first = caller.submit(0, &key, &job).await?;
        assert_eq!(first.status, 200, "{first:?}");
        let second = caller.submit(1, &key, &job).await?;
        assert_eq!(second.text("work"), first.text("work"), "{second:?}");
        let result = caller.wait_for_result(1, first.text("work")).await?;
        assert_eq!(result["outcome"], json!("succeeded"), "{result}");
        assert_eq!(result["answer"], json!(expected), "{result}");
    }
    Ok(())
}
