//! Members known by heartbeat, rendezvous hashing, and the states of hosts.

use std::collections::BTreeMap;

use lagoon_core::id::{Epoch, HostId, PolicyVersion, ProcessId, ShardId};
use lagoon_core::membership::{
    HostListEntry, HostState, HostStates, Member, Members, home_shard, preferred_process,
    stable_hash,
};
use lagoon_core::unit::{Millis, Timestamp};

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn processes(count: usize) -> Vec<ProcessId> {
    (0..count)
        .map(|n| format!("s{n}").parse().unwrap())
        .collect()
}

fn shards() -> impl Iterator<Item = ShardId> {
    (0..1_000).map(|n| format!("cluj:{n}").parse().unwrap())
}

macro_rules! hashes {
    ($($name:ident: $parts:expr => $hash:literal;)*) => {
        $(
            /// Guards against a hash that differs between versions, which would give a shard two owners.
            #[test]
            fn $name() {
                assert_eq!(stable_hash($parts), $hash);
            }
        )*
    };
}

hashes! {
    hash_of_nothing: &[] => 0xf52a_15e9_a9b5_e89b;
    hash_of_one_part: &["w1"] => 0x8c3a_5396_d71f_c3b6;
    hash_of_two_parts: &["cluj:3", "s1"] => 0x47a0_48f1_1160_0199;
}

/// Guards against an uneven distribution of workers over shards.
#[test]
fn workers_spread_over_shards() {
    let mut counts = [0_usize; 8];
    for n in 0..8_000 {
        let worker = format!("worker-{n}").parse().unwrap();
        counts[usize::from(home_shard(&worker, 8).unwrap().get())] += 1;
    }
    assert!(
        counts.iter().all(|count| (850..1_150).contains(count)),
        "{counts:?}"
    );
}

/// Guards against a new member that moves shards between the other members.
#[test]
fn a_new_process_only_takes_shards() {
    let (before, after) = (processes(4), processes(5));
    let added = after.last();
    let mut moved = 0;
    for shard in shards() {
        let old = preferred_process(&shard, &before);
        let new = preferred_process(&shard, &after);
        if old != new {
            assert_eq!(new, added);
            moved += 1;
        }
    }
    assert!((150..250).contains(&moved), "{moved} shards moved");
}

/// Guards against an owner that depends on the order of the members.
#[test]
fn order_of_members_is_irrelevant() {
    let members = processes(7);
    for shard in shards() {
        let forward = preferred_process(&shard, &members);
        assert_eq!(forward, preferred_process(&shard, members.iter().rev()));
    }
}

/// Guards against a worker that is assigned to a failure domain without shards.
#[test]
fn no_shards_no_home() {
    assert_eq!(home_shard(&"w1".parse().unwrap(), 0), None);
}

fn member(policy: u64, epoch: u64) -> Member {
    Member {
        process: "s1".parse().unwrap(),
        domain: "cluj".parse().unwrap(),
        address: "127.0.0.1:7001".to_owned(),
        shards: BTreeMap::from([("cluj:3".parse().unwrap(), Epoch::new(epoch))]),
        policy: PolicyVersion::new(policy),
    }
}

macro_rules! heartbeats {
    ($($(#[$doc:meta])* $name:ident: $silence:literal => $alive:literal, $suspects:literal;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut members = Members::new(Millis::new(1_500));
                members.on_heartbeat(member(1, 1), at(1_000));
                let now = at(1_000 + $silence);
                assert_eq!(members.alive(now).count(), $alive);
                assert_eq!(members.suspects(now).count(), $suspects);
            }
        )*
    };
}

heartbeats! {
    /// Guards against a member that is suspect before the timeout.
    alive_after_a_gap: 1_499 => 1, 0;
    /// Guards against a dead process that is never suspect.
    suspect_after_silence: 1_500 => 0, 1;
}

/// Guards against a reordered heartbeat that lowers a policy version or an epoch.
#[test]
fn reordered_heartbeat_lowers_nothing() {
    let mut members = Members::new(Millis::new(1_500));
    members.on_heartbeat(member(5, 3), at(1_000));
    members.on_heartbeat(member(4, 2), at(1_001));
    assert_eq!(members.newest_policy(), PolicyVersion::new(5));
    let (_, epoch) = members.owner(&"cluj:3".parse().unwrap()).unwrap();
    assert_eq!(epoch, Epoch::new(3));
}

/// Guards against a stopped process that stays suspect, whose shards other members claim again and again.
#[test]
fn left_member_is_removed() {
    let mut members = Members::new(Millis::new(1_500));
    members.on_heartbeat(member(1, 1), at(0));
    members.remove(&"s1".parse().unwrap());
    assert_eq!(members.suspects(at(60_000)).count(), 0);
}

fn list(leaving: bool) -> Vec<HostListEntry> {
    let host = host();
    vec![HostListEntry { host, leaving }]
}

fn host() -> HostId {
    "h1".parse().unwrap()
}

/// Applies `lists` to a live host, one every 1000 ms. The longest delay of the host list is 2000 ms.
fn after_lists(lists: &[Vec<HostListEntry>]) -> HostStates {
    let mut states = HostStates::new(Millis::new(2_000));
    states.apply_host_list(&list(false), at(0));
    for (n, list) in (1..).zip(lists) {
        states.apply_host_list(list, at(n * 1_000));
    }
    states
}

fn after_command(command: impl FnOnce(&mut HostStates)) -> HostStates {
    let mut states = after_lists(&[]);
    command(&mut states);
    states
}

macro_rules! hosts {
    ($($(#[$doc:meta])* $name:ident: $states:expr => $state:ident;)*) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let states = $states;
                assert_eq!(states.state(&host()), HostState::$state);
                assert_eq!(states.accepts_new_work(&host()), HostState::$state == HostState::Live);
            }
        )*
    };
}

hosts! {
    /// Guards against new work on an unknown host.
    unknown_host: HostStates::new(Millis::new(2_000)) => Leaving;
    /// Guards against a live host that accepts no work.
    live_host: after_lists(&[]) => Live;
    /// Guards against new work on a leaving host.
    leaving_host: after_lists(&[list(true)]) => Leaving;
    /// Guards against a host missing from the list that counts as dead, although its tasks may run.
    vanished_host: after_lists(&[vec![]]) => Leaving;
    /// Guards against an outdated list that makes a leaving host live again.
    older_list: after_lists(&[list(true), list(false), list(false)]) => Leaving;
    /// Guards against a host that stays leaving although the list shows it as live for longer than its delay.
    returned_host: after_lists(&[list(true), list(false), list(false), list(false)]) => Live;
    /// Guards against new work on a drained host.
    drained_host: after_command(|states| states.drain(host())) => Drained;
    /// Guards against a list that ends an operator's drain.
    drain_outlasts_the_list: after_command(|states| { states.drain(host()); states.apply_host_list(&list(false), at(9_000)); }) => Drained;
    /// Guards against a drain that can't be ended.
    undrained_host: after_command(|states| { states.drain(host()); states.undrain(&host()); }) => Live;
    /// Guards against a list that brings back a host confirmed dead.
    dead_outlasts_the_list: after_command(|states| { states.confirm_dead(host()); states.apply_host_list(&list(false), at(9_000)); }) => Dead;
}
