//! Host list and executors of a complete fake platform, with faults.

mod util;

use std::time::Duration;

use lagoon_core::unit::Millis;
use lagoon_platform::executor::RunRequest;
use lagoon_platform::hosts::HostState;
use lagoon_platform::{CallEffect, ErrorKind, ExecutorClient, HostListClient};
use lagoon_standin::fault::{FaultMode, FaultRule, FaultTarget};
use lagoon_standin::platform::{PlatformHandle, PlatformSettings};
use tokio::time::sleep;

use util::transport;

macro_rules! platform_cases {
    ($($(#[$doc:meta])* $name:ident: $platform:ident => $body:block)*) => {
        $(
            $(#[$doc])*
            #[tokio::test]
            async fn $name() {
                let $platform = PlatformHandle::bind(settings()).await.unwrap();
                $body
                $platform.stop().await;
            }
        )*
    };
}

fn settings() -> PlatformSettings {
    PlatformSettings {
        domains: vec!["cluj".parse().unwrap(), "iasi".parse().unwrap()],
        slots: 1,
        host_list_lag: Millis::new(500),
        ..PlatformSettings::default()
    }
}

fn executor(platform: &PlatformHandle) -> ExecutorClient {
    let endpoint = platform.executors.endpoint(&"cluj-e0".parse().unwrap());
    ExecutorClient::new(endpoint, transport("p1"), 4)
}

fn request(id: &str, payload: &str) -> RunRequest {
    RunRequest {
        request: id.into(),
        payload: payload.into(),
    }
}

platform_cases! {
    /// Guards against a host list without workers and executors, and against changes that are visible before the lag.
    host_list_lags: platform => {
        let client = HostListClient::new(platform.hosts.endpoint(), transport("p1"));
        let hosts = client.hosts().await.unwrap();
        assert_eq!(hosts.len(), 8);
        assert!(hosts.iter().all(|host| host.worker.is_some()));
        assert_eq!(hosts.iter().flat_map(|host| &host.executors).count(), 4);
        platform.hosts.set_state(&hosts[0].host, HostState::Leaving);
        assert_eq!(client.hosts().await.unwrap(), hosts);
        sleep(Duration::from_millis(600)).await;
        assert_eq!(client.hosts().await.unwrap()[0].state, HostState::Leaving);
    }

    /// Guards against a request that runs without a free slot, and against a refused request that is counted as run.
    busy_executor_refuses_before_start: platform => {
        let client = executor(&platform);
        let first = client.clone();
        let slow = request("r1", "sleep:600;echo:a;b");
        let run = tokio::spawn(async move { first.run(&slow).await });
        while client.status().await.unwrap().in_use == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        let busy = client.run(&request("r2", "")).await.unwrap_err();
        assert!(matches!(busy.kind(), ErrorKind::Refused { status: 503, .. }));
        assert_eq!(busy.effect(), CallEffect::None);
        assert_eq!(run.await.unwrap().unwrap(), "a;b");
        assert_eq!(client.run(&request("r3", "")).await.unwrap(), "done r3");
        let runs = platform.executors.runs();
        assert_eq!(runs.into_iter().collect::<Vec<_>>(), [("r1".into(), 1), ("r3".into(), 1)]);
    }

    /// Guards against a fault of one executor that affects others, and against a run that isn't counted.
    lost_response_counts_as_run: platform => {
        let client = executor(&platform);
        let target = FaultTarget::Executor("cluj-e0".parse().unwrap());
        platform.executors.faults().add(FaultRule::new(target, FaultMode::DropAnswer));
        let lost = client.run(&request("r1", "")).await.unwrap_err();
        assert_eq!(lost.effect(), CallEffect::Unknown);
        assert_eq!(platform.executors.runs()["r1"], 1);
        let other = platform.executors.endpoint(&"cluj-e1".parse().unwrap());
        let other = ExecutorClient::new(other, transport("p1"), 4);
        assert_eq!(other.run(&request("r2", "echo:x")).await.unwrap(), "x");
    }

    /// Guards against an unreachable executor that runs the request.
    unreachable_has_no_effect: platform => {
        let rule = FaultRule::new(FaultTarget::All, FaultMode::Unreachable).times(1);
        platform.executors.faults().add(rule);
        assert!(executor(&platform).run(&request("r1", "")).await.is_err());
        assert!(platform.executors.runs().is_empty());
    }
}
