//! Golden sessions: what operators send and what they are answered.

mod util;

use lagoon_standin::fault::{FaultMode, FaultRule, FaultTarget};
use serde_json::json;

use crate::util::{Loss, Session, work};

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
    /// Guards against answers that hide a part or leave out who did not answer.
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
        session.note("scheduler s2 dies");
        session.schedulers[1].kill();
        session.query("show shards where domain = cluj").await;
        session.query("show work count by shard").await;
    }

    /// Guards against a change that silently overrides another operator's.
    two_operators_race(session) {
        session.command("ana", "c1", "set team red quota cpu=64,memory=256GB").await;
        let ana = json!({"text": "set team red weight 3"});
        let ana = session.send("ana", "/v1/preview", ana).await;
        session.command("ben", "c2", "set team red weight 5").await;
        session.apply("ana", "c3", "set team red weight 3", &ana).await;
        session.note("ana looks again and decides anew");
        session.command("ana", "c3", "set team red weight 3").await;
        session.note("another admin process writes between ana's check and her write");
        let store = session.store_client();
        let entry = store.get("policy").await.unwrap().unwrap();
        let mut other: serde_json::Value = serde_json::from_str(&entry.value).unwrap();
        other["version"] = json!(4);
        other["queue"]["items"] = json!(5);
        let put = json!({"value": other.to_string()});
        session.gate.lose(Loss::Overtaken(put.to_string()));
        session.command("ana", "c4", "set team red weight 4").await;
        session.query("show changes").await;
        session.query("show policy where key = version or key = queue.items or key ~ weight").await;
    }

    /// Guards against a command that takes effect twice, or whose effect is reported wrongly.
    repeat_after_a_lost_answer(session) {
        session.schedulers[0].add([work("w:cluj:0:7:1", "waiting", "red")]);
        session.note("the store's answer to the write of the policy is lost");
        session.gate.lose(Loss::NextAnswer);
        let text = "set retry_budget_percent 5%";
        let preview = session.send("ana", "/v1/preview", json!({"text": text})).await;
        session.apply("ana", "c1", text, &preview).await;
        session.note("the answer to ana is lost, she repeats");
        session.apply("ana", "c1", text, &preview).await;
        session.note("no write of the policy arrives, and nobody knows");
        session.gate.lose(Loss::EveryRequest);
        let text = "set queue.items 50";
        let preview = session.send("ana", "/v1/preview", json!({"text": text})).await;
        session.apply("ana", "c2", text, &preview).await;
        session.query("show changes where command = c2").await;
        session.gate.lose(None);
        session.apply("ana", "c2", text, &preview).await;
        session.note("the same, but ben writes that version before ana repeats");
        session.gate.lose(Loss::EveryRequest);
        let text = "set queue.items 60";
        let preview = session.send("ana", "/v1/preview", json!({"text": text})).await;
        session.apply("ana", "c4", text, &preview).await;
        session.gate.lose(None);
        session.command("ben", "c5", "set queue.items 70").await;
        session.apply("ana", "c4", text, &preview).await;
        session.command("ben", "c6", "set queue.items 80").await;
        session.apply("ana", "c4", text, &preview).await;
        session.note("a command to a shard");
        let text = "cancel w:cluj:0:7:1";
        let preview = session.send("ana", "/v1/preview", json!({"text": text})).await;
        session.apply("ana", "c3", text, &preview).await;
        session.apply("ana", "c3", text, &preview).await;
        session.query("show changes").await;
        session.note("another admin process finds the results in the trail");
        session.replace_admin().await;
        session.apply("ana", "c3", text, &preview).await;
        let text = "set queue.items 50";
        session.apply("ana", "c2", text, &preview).await;
        assert_eq!(session.schedulers[0].changes().len(), 1);
    }

    /// Guards against a policy change without its record, and against commands to shards that wait for the store.
    store_down(session) {
        session.schedulers[0].add([
            work("w:cluj:0:7:1", "waiting", "red"),
            work("w:cluj:0:7:2", "waiting", "blue"),
        ]);
        let drain = json!({"text": "drain host s1-h1"});
        let drain = session.send("ana", "/v1/preview", drain).await;
        session.note("the store goes down");
        let down = FaultRule::new(FaultTarget::Store, FaultMode::Refuse);
        session.store.faults().add(down);
        session.apply("ana", "c1", "drain host s1-h1", &drain).await;
        session.command("ana", "c2", "hold where team = red").await;
        session.query("show changes").await;
        session.query("show policy where key = version").await;
        session.note("the store is back");
        session.store.faults().clear(&FaultTarget::Store);
        session.wait_for(1, "show changes where command = c2").await;
        session.apply("ana", "c2", "hold where team = red", &drain).await;
        session.apply("ana", "c1", "drain host s1-h1", &drain).await;
        session.query("show changes").await;
        session.note("the store takes no records");
        session.gate.lose(Loss::NoTrail);
        session.command("ana", "c3", "set queue.items 50").await;
        session.query("show policy where key = version").await;
        session.command("ana", "c4", "release where team = red").await;
        session.gate.lose(None);
        session.query("show changes where command = c3 or command = c4").await;
    }

    /// Guards against a wrong command that has an effect or a message that does not help.
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
        session.note("more than the limit");
        let text = "cancel where team = red";
        let preview = session.send("ana", "/v1/preview", json!({"text": text})).await;
        session.apply("ana", "c1", text, &preview).await;
        let mut body = json!({"text": text, "confirmation": preview["confirmation"],
            "command_id": "c1", "count": 4});
        session.send("ana", "/v1/apply", body.clone()).await;
        session.note("the shard is taken over before the apply");
        session.schedulers[0].set_epoch(8);
        body["count"] = json!(5);
        session.send("ana", "/v1/apply", body.clone()).await;
        assert!(session.schedulers[0].changes().is_empty());
        session.schedulers[0].set_epoch(7);
        session.send("ana", "/v1/apply", body.clone()).await;
        session.note("the same id for another command, and by another operator");
        session.apply("ana", "c1", "drain host s1-h1", &preview).await;
        session.send("ben", "/v1/apply", body).await;
        session.note("what the scheduler itself refuses");
        session.command("ana", "c2", "hand over cluj:0 to s2").await;
    }

    /// Guards against a drain, hold or dead host that does not go where it should, and against a wrong undo.
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
