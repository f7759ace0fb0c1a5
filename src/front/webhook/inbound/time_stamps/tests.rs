//! Tests of the freshness of time stamps.

use super::*;

const SECOND: Micros = 1_000_000;
const TOLERANCE_S: u64 = 300;

#[test]
fn known_identities_leave_the_tolerance_alone() {
    let check = |stamp| EarlierIdentities::Known.check_stamp(stamp, TOLERANCE_S, 1_000 * SECOND);
    for stamp in [700, 1_000, 1_300] {
        assert_eq!(check(stamp), StampCheck::Fresh, "{stamp}");
    }
    for stamp in [0, 699, 1_301, u64::MAX] {
        assert_eq!(check(stamp), StampCheck::Refused, "{stamp}");
    }
}

#[test]
fn first_start_refuses_stamps_up_to_its_own_second() {
    let first = EarlierIdentities::FirstStart(1_000 * SECOND + 1);
    let check = |stamp| first.check_stamp(stamp, TOLERANCE_S, 1_001 * SECOND);
    assert_eq!(check(999), StampCheck::Refused);
    assert_eq!(check(1_000), StampCheck::JustStarted);
    assert_eq!(check(1_001), StampCheck::Fresh);
    assert_eq!(check(1_301), StampCheck::Fresh);
}

/// Guards against replays: whatever a former process without a file may have accepted up to its end
/// is refused by the next one, and a sound call is accepted six seconds after the start.
#[test]
fn lost_identities_refuse_all_that_a_former_process_accepted() {
    let start = 1_000 * SECOND + SECOND / 2;
    let (former, next) = (EarlierIdentities::Lost(0), EarlierIdentities::Lost(start));
    for accepted_at in [700 * SECOND, 999 * SECOND, start] {
        for stamp in 600..1_400 {
            if former.check_stamp(stamp, TOLERANCE_S, accepted_at) != StampCheck::Fresh {
                continue;
            }
            for asked_at in (start..start + 700 * SECOND).step_by(SECOND as usize) {
                let result = next.check_stamp(stamp, TOLERANCE_S, asked_at);
                assert_ne!(result, StampCheck::Fresh, "{stamp} at {asked_at}");
            }
        }
    }
    for ahead_s in [0, 5] {
        let sound_at = (1_006 - ahead_s) * SECOND;
        let stamp = sound_at / SECOND + ahead_s;
        assert_eq!(
            next.check_stamp(stamp, TOLERANCE_S, sound_at),
            StampCheck::Fresh
        );
        let before = next.check_stamp(stamp - 1, TOLERANCE_S, sound_at - SECOND);
        assert_eq!(before, StampCheck::JustStarted);
    }
    assert_eq!(
        next.check_stamp(1_036, TOLERANCE_S, 1_006 * SECOND),
        StampCheck::Refused
    );
}
