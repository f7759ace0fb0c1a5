//! What each way to end means to the decision module and to other instances.

use super::*;
use crate::policy::never_ran;

/// What this side did itself tells others nothing of the worker.
#[test]
fn others_are_told_only_what_the_worker_did() {
    use CloseReason::*;
    for e in [Withdrawn, Idle, LocalLimit, ConnectionsFull, Shutdown] {
        assert!(
            e.observation(SendProgress::Started).is_none()
                && e.observation(SendProgress::Unsent).is_none(),
            "{e:?}"
        );
    }
    for e in [TimedOut, Cancelled, Reset, Closed] {
        assert!(
            e.observation(SendProgress::Unsent).is_none()
                && e.observation(SendProgress::Started).is_some(),
            "{e:?}"
        );
    }
    assert_eq!(
        (
            Served.observation(SendProgress::Started),
            ConnectTimeout.observation(SendProgress::Unsent)
        ),
        (Some(Observed::Answered), Some(Observed::Refused))
    );
}

#[test]
fn only_what_never_left_or_was_turned_away_is_proved_not_to_have_run() {
    use CloseReason::*;
    for e in [
        Reset,
        Closed,
        Malformed,
        TimedOut,
        Cancelled,
        Withdrawn,
        Idle,
        LocalLimit,
        ConnectionsFull,
        Shutdown,
    ] {
        assert!(
            never_ran(e.outcome(SendProgress::Unsent)),
            "{e:?} before a byte left"
        );
        assert!(
            !never_ran(e.outcome(SendProgress::Started)),
            "{e:?} after a byte left"
        );
    }
    for e in [NotLoaded, AtCapacity, Expired, Refused, ConnectTimeout] {
        assert!(never_ran(e.outcome(SendProgress::Started)), "{e:?}");
    }
    for e in [Served, Failed] {
        assert!(!never_ran(e.outcome(SendProgress::Started)), "{e:?}");
    }
}

/// Guards workers against this side's own limits: a gateway without descriptors must not take all workers for dead.
#[test]
fn what_this_side_lacks_is_not_put_down_to_the_worker() {
    assert_eq!(
        CloseReason::LocalLimit.outcome(SendProgress::Unsent),
        Outcome::NotSent
    );
    assert_eq!(
        CloseReason::ConnectionsFull.outcome(SendProgress::Unsent),
        Outcome::Rejected
    );
    assert_eq!(
        CloseReason::ConnectTimeout.outcome(SendProgress::Unsent),
        Outcome::ConnectFailed
    );
}
