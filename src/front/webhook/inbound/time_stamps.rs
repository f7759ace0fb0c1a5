//! Freshness of time stamps, where the identities that earlier processes accepted may be unknown.

use std::ops::RangeInclusive;

use crate::api::Micros;

/// How far a time stamp may lie ahead of the clock while identities are lost with the process, in
/// seconds: enough for clocks that are kept by time servers.
const MAX_AHEAD_WITHOUT_FILE_S: u64 = 5;

/// What a process knows of the identities that earlier processes of its gateway accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierIdentities {
    /// All are known, from a file or a store.
    Known,
    /// None is known, as the first process with a file started at this time. Later processes know
    /// those of this one.
    FirstStart(Micros),
    /// None is known, and those of this process, which started at this time, are lost with it.
    Lost(Micros),
}

impl EarlierIdentities {
    fn max_ahead_s(self, tolerance_s: u64) -> u64 {
        match self {
            EarlierIdentities::Known | EarlierIdentities::FirstStart(_) => tolerance_s,
            EarlierIdentities::Lost(_) => MAX_AHEAD_WITHOUT_FILE_S.min(tolerance_s),
        }
    }

    /// The time stamps from the start of this process on that an earlier one may have accepted, in
    /// seconds; none if its identities are known. All earlier stamps are in doubt as well.
    fn stamps_in_doubt(self) -> Option<RangeInclusive<u64>> {
        let seconds = |at: Micros| at / 1_000_000;
        match self {
            EarlierIdentities::Known => None,
            EarlierIdentities::FirstStart(at) => Some(seconds(at)..=seconds(at)),
            EarlierIdentities::Lost(at) => {
                Some(seconds(at)..=seconds(at) + MAX_AHEAD_WITHOUT_FILE_S)
            }
        }
    }

    /// Checks a time stamp, in seconds, against the clock. An earlier process may have accepted any stamp up to its own
    /// end plus the time by which stamps may lie ahead. Where its identities are unknown, such
    /// stamps are rejected, and the time ahead is short, so that they are soon past.
    pub(super) fn check_stamp(self, stamp: u64, tolerance_s: u64, now: Micros) -> StampCheck {
        let now_s = now / 1_000_000;
        let max_ahead_s = self.max_ahead_s(tolerance_s);
        if now_s.abs_diff(stamp) > tolerance_s || stamp > now_s + max_ahead_s {
            return StampCheck::Refused;
        }
        let Some(may_be_taken) = self.stamps_in_doubt() else {
            return StampCheck::Fresh;
        };
        if stamp < *may_be_taken.start() {
            StampCheck::Refused
        } else if may_be_taken.contains(&stamp) {
            StampCheck::JustStarted
        } else {
            StampCheck::Fresh
        }
    }
}

/// The result of checking a time stamp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StampCheck {
    /// Close to the clock, and not accepted before.
    Fresh,
    /// Too far from the clock, or from before the start.
    Refused,
    /// Maybe accepted by the previous process; a new signature will do.
    JustStarted,
}

#[cfg(test)]
mod tests;
