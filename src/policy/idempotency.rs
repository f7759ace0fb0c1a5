//! Permitted steps after an attempt that may have run, by the effect of the request's class.

use crate::api::{Effect, IdempotencyScope, Micros, Outcome};

/// Steps that cannot run a request twice against the effect of its class.
#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub struct Permitted {
    /// Whether another attempt is permitted. If the request has an idempotency key, the attempt
    /// must go to a worker that shares the keys of the first worker that may have run the request.
    pub retry: bool,
    /// Whether a rejection is permitted, which promises that a client's retry is safe. If not, an
    /// unserved request is answered with a failure.
    pub reject: bool,
}

/// The permitted steps for a request whose first attempt that may have run was sent at
/// `possible_run_at`. A retry must begin `margin` microseconds before the window of its idempotency
/// key ends.
pub fn permitted_after(
    effect: Effect,
    possible_run_at: Option<Micros>,
    now: Micros,
    margin: Micros,
) -> Permitted {
    let all_permitted = Permitted {
        retry: true,
        reject: true,
    };
    let Some(sent_at) = possible_run_at else {
        return all_permitted;
    };
    match effect {
        Effect::Idempotent => all_permitted,
        Effect::Keyed { scope, window } => {
            let key_is_remembered = now + margin < sent_at + window;
            Permitted {
                retry: key_is_remembered,
                reject: key_is_remembered && scope == IdempotencyScope::All,
            }
        }
        Effect::NonIdempotent => Permitted {
            retry: false,
            reject: false,
        },
    }
}

/// Whether an outcome proves that the attempt never ran.
pub fn never_ran(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Miss
    )
}
