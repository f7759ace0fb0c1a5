//! What may follow an attempt that may have run, by the class's effect.

use crate::api::{Effect, IdempotencyScope, Micros, Outcome};

/// What may still be done for a request without running it twice against its class's effect.
#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub struct Permitted {
    /// Another attempt. With an idempotency key it must stay within the scope of the first that may
    /// have run.
    pub retry: bool,
    /// A rejection, which promises that a client's retry is harmless. Otherwise only a failure is
    /// left.
    pub reject: bool,
}

/// What is permitted for a request whose first attempt that may have run was sent at
/// `possible_run_at`. A retry must begin `margin` microseconds before the window of its idempotency
/// key ends.
pub fn permitted_after(
    effect: Effect,
    possible_run_at: Option<Micros>,
    now: Micros,
    margin: Micros,
) -> Permitted {
    let everything = Permitted {
        retry: true,
        reject: true,
    };
    let Some(sent_at) = possible_run_at else {
        return everything;
    };
    match effect {
        Effect::Idempotent => everything,
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
