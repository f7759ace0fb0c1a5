//! How long evidence holds.

use crate::api::{Micros, Settings};

/// What is left between the last send that evidence allows and the first that would be too late:
/// clocks are read and bytes written at different moments.
const MARGIN: Micros = 300_000;
/// How late the list may be when discovery confirms it: a worker may have begun to drain so long before.
const LIST_LAG: Micros = 2_000_000;

/// The times that the settings give, less the margins.
#[derive(Clone, Copy, Debug)]
pub(super) struct Spans {
    /// After this, what discovery would have told counts as told.
    pub(super) told_after: Micros,
    /// How long after evidence that came from the worker itself it may be sent to.
    pub(super) own: Micros,
    /// How long after discovery last confirmed the list a listed worker may be sent to.
    pub(super) list: Micros,
}

impl Spans {
    /// The spans of a deployment whose list ages; none if it does not.
    pub(super) fn from_settings(settings: &Settings) -> Option<Spans> {
        let told_after = settings.list_max_age?;
        let last_send = told_after + settings.drain_grace;
        let own = last_send - MARGIN.min(last_send / 4);
        Some(Spans {
            told_after,
            own,
            list: own.saturating_sub(LIST_LAG.min(told_after / 3)),
        })
    }
}
