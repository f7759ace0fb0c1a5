//! What each way to end means to the decision module and to other instances.

use super::*;
use crate::policy::never_ran;

/// What this side did itself tells others nothing of the worker.
#[test]
fn others_are_told_only_what_the_worker_did() {
    use Ending::*;
    for e in [Withdrawn, Idle, Overflow, Crowded, Shutdown] {
        assert!(e.seen(Left::Some).is_none() && e.seen(Left::Nothing).is_none(), "{e:?}");
    }
    for e in [TimedOut, CalledOff, Reset, Closed] {
        assert!(e.seen(Left::Nothing).is_none() && e.seen(Left::Some).is_some(), "{e:?}");
    }
    assert_eq!(
        (Served.seen(Left::Some), NeverUp.seen(Left::Nothing)),
        (Some(Seen::Answered), Some(Seen::Refused))
    );
}

#[test]
fn only_what_never_left_or_was_turned_away_is_proved_not_to_have_run() {
    use Ending::*;
    for e in [Reset, Closed, Malformed, TimedOut, CalledOff, Withdrawn, Idle, Overflow, Crowded, Shutdown] {
        assert!(never_ran(e.outcome(Left::Nothing)), "{e:?} before a byte left");
        assert!(!never_ran(e.outcome(Left::Some)), "{e:?} after a byte left");
    }
    for e in [Missed, NoRoom, Over, Refused, NeverUp] {
        assert!(never_ran(e.outcome(Left::Some)), "{e:?}");
    }
    for e in [Served, Failed] {
        assert!(!never_ran(e.outcome(Left::Some)), "{e:?}");
    }
}

/// Guards workers against this side's own limits: a gateway without descriptors must not take all workers for dead.
#[test]
fn what_this_side_lacks_is_not_put_down_to_the_worker() {
    assert_eq!(Ending::Overflow.outcome(Left::Nothing), Outcome::NotSent);
    assert_eq!(Ending::Crowded.outcome(Left::Nothing), Outcome::Rejected);
    assert_eq!(Ending::NeverUp.outcome(Left::Nothing), Outcome::ConnectFailed);
}
