//! Tests of the conversion of close reasons to outcomes and to observations for other instances.

use super::*;
use crate::policy::never_ran;

/// Actions of this process are not evidence about a worker.
#[test]
fn own_decisions_are_not_reported_to_peers() {
    use CloseReason::*;
    for reason in [Withdrawn, Idle, LocalLimit, ConnectionsFull, Shutdown] {
        assert!(
            reason.observation(SendProgress::Started).is_none()
                && reason.observation(SendProgress::Unsent).is_none(),
            "{reason:?}"
        );
    }
    for reason in [TimedOut, Cancelled, Reset, Closed] {
        assert!(
            reason.observation(SendProgress::Unsent).is_none()
                && reason.observation(SendProgress::Started).is_some(),
            "{reason:?}"
        );
    }
    assert_eq!(
        (
            Served.observation(SendProgress::Started),
            ConnectTimeout.observation(SendProgress::Unsent)
        ),
        (
            Some(AttemptOutcome::Answered),
            Some(AttemptOutcome::Refused)
        )
    );
}

#[test]
fn only_unsent_or_rejected_attempts_never_ran() {
    use CloseReason::*;
    for reason in [
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
            never_ran(reason.outcome(SendProgress::Unsent)),
            "{reason:?} before a byte was sent"
        );
        assert!(
            !never_ran(reason.outcome(SendProgress::Started)),
            "{reason:?} after a byte was sent"
        );
    }
    for reason in [NotLoaded, AtCapacity, Expired, Refused, ConnectTimeout] {
        assert!(
            never_ran(reason.outcome(SendProgress::Started)),
            "{reason:?}"
        );
    }
    for reason in [Served, Failed] {
        assert!(
            !never_ran(reason.outcome(SendProgress::Started)),
            "{reason:?}"
        );
    }
}

/// Guards against blaming workers for the gateway's own limits: a gateway that has run out of file
/// descriptors must not consider all workers dead.
#[test]
fn local_limits_are_not_blamed_on_workers() {
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
