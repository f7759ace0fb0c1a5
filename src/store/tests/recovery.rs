//! Recovery of calls after a restart: the action for each effect and progress.

use super::{accept, call, complete, retain, MAX_BYTES, SECOND_US};
use crate::api::{Effect, IdempotencyScope};
use crate::store::keyspace::MemoryKeyspace;
use crate::store::records::CallRecord;
use crate::store::recovery::{
    recovery_action, resume_action, LocalRun, RecoveryAction, ResumeAction,
};
use crate::store::tables::Tables;

fn keyed(scope: IdempotencyScope) -> Effect {
    Effect::Keyed {
        scope,
        window: 5 * SECOND_US,
    }
}

#[test]
fn recovery_action_follows_effect_and_progress() {
    let all = keyed(IdempotencyScope::All);
    let zone = keyed(IdempotencyScope::Zone);
    // Effect, send time of the first attempt, time of recovery (both in seconds), expected action.
    let rows = [
        (Effect::NonIdempotent, None, 10, RecoveryAction::Run),
        (Effect::NonIdempotent, None, 200, RecoveryAction::Reject),
        (Effect::Idempotent, Some(5), 10, RecoveryAction::Run),
        (Effect::Idempotent, Some(5), 200, RecoveryAction::Reject),
        (
            Effect::NonIdempotent,
            Some(5),
            10,
            RecoveryAction::ReportUnknown,
        ),
        (
            Effect::NonIdempotent,
            Some(5),
            200,
            RecoveryAction::ReportUnknown,
        ),
        (all, Some(7), 10, RecoveryAction::Reject),
        (all, Some(4), 10, RecoveryAction::ReportUnknown),
        (zone, Some(99), 101, RecoveryAction::ReportUnknown),
        (all, Some(99), 101, RecoveryAction::Reject),
    ];
    for (effect, sent, now, expected) in rows {
        let call = CallRecord {
            sent: sent.map(|sent| sent * SECOND_US),
            ..*call(1, effect)
        };
        assert_eq!(
            recovery_action(&call, now * SECOND_US, false),
            expected,
            "{effect:?} {sent:?} {now}"
        );
    }
    let call = CallRecord {
        sent: Some(7 * SECOND_US),
        ..*call(1, all)
    };
    assert_eq!(
        recovery_action(&call, 6 * SECOND_US, true),
        RecoveryAction::ReportUnknown,
        "the clock went back"
    );
}

/// Guards against recovered calls that are still open in the same process, and are therefore
/// rejected although they may run, or run twice concurrently.
#[test]
fn resumed_call_waits_for_own_last_attempt() {
    let never_sent = *call(1, Effect::NonIdempotent);
    let sent = CallRecord {
        sent: Some(5 * SECOND_US),
        ..never_sent.clone()
    };
    let sent_idempotent = CallRecord {
        sent: Some(5 * SECOND_US),
        ..*call(2, Effect::Idempotent)
    };
    let (run, unknown) = (RecoveryAction::Run, RecoveryAction::ReportUnknown);
    for (call, action) in [
        (&never_sent, run),
        (&sent_idempotent, run),
        (&sent, unknown),
    ] {
        let resumed = |local_run| resume_action(call, 10 * SECOND_US, true, local_run);
        assert_eq!(resumed(LocalRun::None), ResumeAction::Recover(action));
        assert_eq!(resumed(LocalRun::InProgress), ResumeAction::Keep);
        let while_ending = match action {
            RecoveryAction::Run => ResumeAction::Postpone,
            other => ResumeAction::Recover(other),
        };
        assert_eq!(resumed(LocalRun::Cancelled), while_ending);
    }
}

/// The expiry time of removed identities is recovered too, because a clock that went backwards
/// makes the timestamps of their calls valid again.
#[test]
fn regressed_clock_is_reported() {
    let mut keyspace = MemoryKeyspace::default();
    let (mut tables, _) = Tables::open(&mut keyspace, true, MAX_BYTES, 1000).unwrap();
    for op in [
        accept(1, Effect::Idempotent, 1300),
        complete(1, vec![]),
        retain(2000, 1 << 40),
    ] {
        tables.apply(&mut keyspace, op).unwrap();
    }
    tables.finish(&mut keyspace, 2000).unwrap();
    let (_, recovered) = Tables::open(&mut keyspace, true, MAX_BYTES, 900).unwrap();
    assert!(recovered.clock_regressed && recovered.identities.is_empty());
    assert_eq!(
        recovered.identities_expired_until, 1300,
        "an identity that was valid until then may have been used"
    );
}
