//! Inherited work whose workers restart before all of them have responded to fencing.

use crate::model::{OTHER_WORKER, Owner, Store, WORKER, at, batch, worker};

/// Creates an owner that runs a batch run on one of its two workers and whose journal names both.
fn first_owner(store: &mut Store) -> Owner {
    let mut owner = Owner::claim(store, "s1", None).unwrap();
    owner.serve(store, 1, 8, Vec::new());
    owner.submit(batch("k"));
    owner.flush_journal(store);
    assert_eq!(owner.starts_sent(), 1);
    let both = [worker(WORKER), worker(OTHER_WORKER)];
    owner.shard.set_workers(&both, &Default::default(), at(0));
    owner.heartbeat(OTHER_WORKER, Vec::new());
    owner.flush_journal(store);
    owner
}

/// Guards against a second run of work that a restarted worker lost. The owner that saw the restart died while another
/// worker was unreachable, and the next owner must still know that the work may have run.
#[test]
fn restart_seen_by_an_owner_that_died() {
    let mut store = Store::default();
    first_owner(&mut store);
    let mut second = Owner::claim(&mut store, "s2", None).unwrap();
    second.restart_workers();
    let both = [worker(WORKER), worker(OTHER_WORKER)];
    second.shard.begin_fencing(at(0));
    second.shard.set_workers(&both, &Default::default(), at(0));
    second.fence(WORKER, Vec::new());
    second.heartbeat(WORKER, Vec::new());
    second.flush_journal(&mut store);
    let mut third = Owner::claim(&mut store, "s3", None).unwrap();
    third.fence(OTHER_WORKER, Vec::new());
    third.restart_workers();
    third.serve(&mut store, 3, 8, Vec::new());
    assert_eq!(third.starts_sent(), 0);
    let waiter = third.submit(batch("k"));
    assert_eq!(third.reply_name(waiter), "accepted");
    assert!(third.shard.list(None, None, 10).is_empty());
}

/// Guards against a restarted worker that stays closed for tasks after fencing.
#[test]
fn restarted_worker_is_used_again() {
    let mut store = Store::default();
    first_owner(&mut store);
    let mut second = Owner::claim(&mut store, "s2", None).unwrap();
    second.restart_workers();
    second.serve(&mut store, 2, 8, Vec::new());
    second.fence(OTHER_WORKER, Vec::new());
    second.flush_journal(&mut store);
    second.submit(batch("new"));
    second.flush_journal(&mut store);
    assert_eq!(second.starts_sent(), 1);
}
