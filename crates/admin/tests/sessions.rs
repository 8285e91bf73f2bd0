//! Golden sessions: transcripts of operators' requests and the responses.

mod util;

use lagoon_standin::fault::{FaultMode, FaultRule, FaultTarget};
use serde_json::json;

use crate::util::{Session, WriteFault, work};

macro_rules! sessions {
    ($($(#[$doc:meta])* $name:ident($session:ident) $body:block)*) => {
        $(
            $(#[$doc])*
            #[tokio::test]
            async fn $name() {
                #[allow(unused_mut, reason = "a session may only read")]
                let mut $session = Session::start("count_limit: 3\n").await;
                $body
                let transcript = $session.finish().await;
                insta::assert_snapshot!(stringify!($name), transcript);
            }
        )*
    };
}

sessions! {
    /// Guards against query responses that omit rows or do not list the sources that did not respond.
    queries(session) {
        session.schedulers[0].add([
            work("w:cluj:0:7:1", "waiting", "red"),
            work("w:cluj:0:7:2", "running", "red"),
            work("w:cluj:0:7:3", "waiting", "blue"),
        ]);
        session.schedulers[1].add([work("w:cluj:1:7:1", "waiting", "red")]);
        session.query("show work where team = red and not state = running").await;
        session.query("show work where memory >= 2GiB count by team sort by count desc").await;
        session.query("show workers where rack = s2-r1 sort by worker desc limit 1").await;
        session.query("show shards").await;
        session.query("why w:cluj:1:7:1").await;
        session.query("why w:cluj:1:7:99").await;
        session.query("show policy where key ~ kinds").await;
        session.query("show processes").await;
        session.add_remark("scheduler s2 dies");
        session.schedulers[1].kill();
        session.query("show shards where domain = cluj").await;
        session.query("show work count by shard").await;
    }

    /// Guards against a change that silently overwrites another operator's change.
    two_operators_race(session) {
        session.command("ana", "c1", "set team red quota cpu=64,memory=256GB").await;
        let ana = json!({"text": "set team red weight 3"});
        let ana = session.send("ana", "/v1/preview", ana).await;
        session.command("ben", "c2", "set team red weight 5").await;
        session.apply("ana", "c3", "set team red weight 3", &ana).await;
        session.add_remark("ana previews the command again");
        session.command("ana", "c3", "set team red weight 3").await;
        session.add_remark("another admin process writes between ana's check and her write");
        let store = session.store_client();
        let entry = store.get("policy").await.unwrap().unwrap();
        let mut other: serde_json::Value = serde_json::from_str(&entry.value).unwrap();
        other["version"] = json!(4);
        other["queue"]["items"] = json!(5);
        let put = json!({"value": other.to_string()});
        session.store_proxy.set_fault(WriteFault::PrecedeNext(put.to_string()));
        session.command("ana", "c4", "set team red weight 4").await;
        session.query("show changes").await;
        session.query("show policy where key = version or key = queue.items or key ~ weight").await;
    }

    /// Guards against a command that takes effect twice after its response was lost, or whose effect is misreported.
    repeat_after_a_lost_answer(session) {
        session.schedulers[0].add([work("w:cluj:0:7:1", "waiting", "red")]);
        session.add_remark("the store's response to the policy write is lost");
        session.store_proxy.set_fault(WriteFault::LoseNextResponse);
        let text = "set retry_budget_percent 5%";
        let preview = session.send("ana", "/v1/preview", json!({"text": text})).await;
        session.apply("ana", "c1", text, &preview).await;
        session.add_remark("the response to ana is lost and she repeats the command");
        session.apply("ana", "c1", text, &preview).await;
        session.add_remark("policy writes are lost with an unknown outcome");
        session.store_proxy.set_fault(WriteFault::LoseAllRequests);
        let text = "set queue.items 50";
        let preview = session.send("ana", "/v1/preview", json!({"text": text})).await;
        session.apply("ana", "c2", text, &preview).await;
        session.query("show changes where command = c2").await;
        session.store_proxy.set_fault(None);
        session.apply("ana", "c2", text, &preview).await;
        session.add_remark("the same, but ben writes that version before ana repeats the command");
        session.store_proxy.set_fault(WriteFault::LoseAllRequests);
        let text = "set queue.items 60";
        let preview = session.send("ana", "/v1/preview", json!({"text": text})).await;
        session.apply("ana", "c4", text, &preview).await;
        session.store_proxy.set_fault(None);
        session.command("ben", "c5", "set queue.items 70").await;
        session.apply("ana", "c4", text, &preview).await;
        session.command("ben", "c6", "set queue.items 80").await;
        session.apply("ana", "c4", text, &preview).await;
        session.add_remark("a command to a shard");
        let text = "cancel w:cluj:0:7:1";
        let preview = session.send("ana", "/v1/preview", json!({"text": text})).await;
        session.apply("ana", "c3", text, &preview).await;
        session.apply("ana", "c3", text, &preview).await;
        session.query("show changes").await;
        session.add_remark("another admin process finds the results in the audit trail");
        session.replace_admin().await;
        session.apply("ana", "c3", text, &preview).await;
        let text = "set queue.items 50";
        session.apply("ana", "c2", text, &preview).await;
        assert_eq!(session.schedulers[0].changes().len(), 1);
    }

    /// Guards against a policy change that takes effect without an audit record, and against commands to shards that
    /// block while the store is down.
    store_down(session) {
        session.schedulers[0].add([
            work("w:cluj:0:7:1", "waiting", "red"),
            work("w:cluj:0:7:2", "waiting", "blue"),
        ]);
        let drain = json!({"text": "drain host s1-h1"});
        let drain = session.send("ana", "/v1/preview", drain).await;
        session.add_remark("the store goes down");
        let down = FaultRule::new(FaultTarget::Store, FaultMode::Refuse);
        session.store.faults().add(down);
        session.apply("ana", "c1", "drain host s1-h1", &drain).await;
        session.command("ana", "c2", "hold where team = red").await;
        session.query("show changes").await;
        session.query("show policy where key = version").await;
        session.add_remark("the store is back");
        session.store.faults().clear(&FaultTarget::Store);
        session.wait_for(1, "show changes where command = c2").await;
        session.apply("ana", "c2", "hold where team = red", &drain).await;
        session.apply("ana", "c1", "drain host s1-h1", &drain).await;
        session.query("show changes").await;
        session.add_remark("the store refuses audit records");
        session.store_proxy.set_fault(WriteFault::RefuseAudit);
        session.command("ana", "c3", "set queue.items 50").await;
        session.query("show policy where key = version").await;
        session.command("ana", "c4", "release where team = red").await;
        session.store_proxy.set_fault(None);
        session.query("show changes where command = c3 or command = c4").await;
    }

    /// Guards against an invalid command that has an effect, or an error message that does not name the cause.
    wrong_commands(session) {
        session.schedulers[0].add((1..=5).map(|n| {
            work(&format!("w:cluj:0:7:{n}"), "running", "red")
        }));
        session.send("eve", "/v1/query", json!({"text": "show work"})).await;
        session.query("show wrok").await;
        session.query("drain host s1-h1").await;
        session.send("ana", "/v1/preview", json!({"text": "show work"})).await;
        session.send("ana", "/v1/preview", json!({"txet": "show work"})).await;
        session.send("ana", "/v1/prevew", json!({"text": "show work"})).await;
        for text in [
            "drain host s9-h1",
            "drain rack s9-r1",
            "cancel w:cluj:0:7:99",
            "cancel w:cluj:5:7:1",
            "set team green weight 3",
            "set kind batch guaranteed 95%",
            "confirm dead host s9-h1",
            "hand over cluj:0 to s9",
        ] {
            session.send("ana", "/v1/preview", json!({"text": text})).await;
        }
        session.add_remark("more affected items than the limit");
        let text = "cancel where team = red";
        let preview = session.send("ana", "/v1/preview", json!({"text": text})).await;
        session.apply("ana", "c1", text, &preview).await;
        let mut body = json!({"text": text, "confirmation": preview["confirmation"],
            "command_id": "c1", "count": 4});
        session.send("ana", "/v1/apply", body.clone()).await;
        session.add_remark("the shard is taken over before the apply");
        session.schedulers[0].set_epoch(8);
        body["count"] = json!(5);
        session.send("ana", "/v1/apply", body.clone()).await;
        assert!(session.schedulers[0].changes().is_empty());
        session.schedulers[0].set_epoch(7);
        session.send("ana", "/v1/apply", body.clone()).await;
        session.add_remark("the same id for another command, and by another operator");
        session.apply("ana", "c1", "drain host s1-h1", &preview).await;
        session.send("ben", "/v1/apply", body).await;
        session.add_remark("a command that the scheduler refuses");
        session.command("ana", "c2", "hand over cluj:0 to s2").await;
    }

    /// Guards against a command that is sent to the wrong hosts, work or shards, and against a wrong undo.
    every_kind_of_command(session) {
        session.schedulers[0].add([
            work("w:cluj:0:7:1", "waiting", "red"),
            work("w:cluj:0:7:2", "running", "red"),
        ]);
        session.command("ana", "c1", "drain host s1-h1").await;
        session.command("ana", "c2", "drain rack s1-r1").await;
        session.command("ana", "c3", "undrain rack s1-r1").await;
        session.command("ana", "c4", "hold where team = red").await;
        session.command("ana", "c5", "release where state = held").await;
        session.command("ana", "c6", "confirm dead host s2-h1").await;
        session.command("ana", "c7", "set services.plan.request_timeout 20s").await;
        session.command("ana", "c8", "set services.plan.request_timeout 30s").await;
        session.command("ana", "c9", "set services.plan.request_timeout 30s").await;
        session.query("show changes sort by command").await;
    }
}
