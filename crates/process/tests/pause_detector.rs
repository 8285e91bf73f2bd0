//! Detection of pauses of the process.

use lagoon_core::unit::{Millis, Timestamp};
use lagoon_process::PauseDetector;

const LIMIT: Millis = Millis::new(2_500);

/// Defines each named case as a test.
macro_rules! cases {
    ($($(#[$meta:meta])* $name:ident $body:block)*) => {
        $($(#[$meta])* #[test] fn $name() $body)*
    };
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Returns a detector of a process that ran until 1,000 and again from 3,400 on.
fn paused() -> PauseDetector {
    let mut pauses = PauseDetector::new(at(900));
    assert_eq!(pauses.observe(at(1_000)), None);
    assert_eq!(pauses.observe(at(3_400)), Some(Millis::new(2_400)));
    pauses
}

cases! {
    /// Guards against reads of a value that is up to date.
    no_pause_is_detected_while_the_process_runs {
        let mut pauses = PauseDetector::new(at(0));
        for step in 1..50 {
            assert_eq!(pauses.observe(at(step * 200)), None);
            assert!(!pauses.is_outdated(LIMIT, at(step * 200)));
        }
    }

    /// Guards against the use of a value that changed during a pause.
    a_value_read_before_a_pause_is_outdated {
        let mut pauses = paused();
        assert!(pauses.is_outdated(LIMIT, at(3_400)));
        assert_eq!(pauses.observe(at(3_450)), None);
        assert!(pauses.is_outdated(LIMIT, at(3_450)));
    }

    /// Guards against a confirmation by an answer that the store gave before the pause.
    a_read_sent_before_a_pause_does_not_confirm {
        let mut pauses = paused();
        pauses.confirm(at(990));
        assert!(pauses.is_outdated(LIMIT, at(3_410)));
    }

    /// Guards against reads that go on after the value was read.
    a_read_sent_after_a_pause_confirms {
        let mut pauses = paused();
        pauses.confirm(at(3_400));
        assert!(!pauses.is_outdated(LIMIT, at(3_410)));
    }

    /// Guards against requests that are refused for as long as the store can't be read.
    a_pause_is_forgotten_after_the_limit {
        let pauses = paused();
        assert!(pauses.is_outdated(LIMIT, at(5_900)));
        assert!(!pauses.is_outdated(LIMIT, at(5_901)));
    }
}
