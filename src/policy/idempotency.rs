//! Permitted steps after an attempt that may have run, by the effect of the request's class.

use crate::api::{Effect, IdempotencyScope, Micros, Outcome};

/// Steps that cannot run a request twice against the effect of its class.
#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub struct Permitted {
    /// Another attempt. With an idempotency key it must stay within the scope of the first attempt
    /// that may have run.
    pub retry: bool,
    /// A rejection, which promises that a client's retry is safe. Otherwise only a failure is
    /// possible.
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
