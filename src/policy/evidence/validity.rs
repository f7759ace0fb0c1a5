//! Validity periods of evidence.

use crate::api::{Micros, Settings};

/// Safety margin between the last send that evidence allows and the first that would be too late,
/// in microseconds: clocks are read and bytes written at different moments.
const MARGIN: Micros = 300_000;
/// The maximum lag of the list when discovery confirms it, in microseconds: a worker on it may have
/// begun to drain this long before the confirmation.
const LIST_LAG: Micros = 2_000_000;

/// Validity periods from the settings, less the margins.
#[derive(Clone, Copy, Debug)]
pub(super) struct EvidenceValidity {
    /// The time after which every change at discovery counts as known to this instance, even if
    /// discovery was unreachable, in microseconds.
    pub(super) max_list_age: Micros,
    /// The time after evidence from the worker itself during which the worker may be sent new work,
    /// in microseconds.
    pub(super) own_evidence: Micros,
    /// The time after discovery last confirmed the list during which a listed worker may be sent
    /// new work, in microseconds.
    pub(super) list_evidence: Micros,
}

impl EvidenceValidity {
    /// Computes the periods from the settings; `None` if the list does not expire.
    pub(super) fn from_settings(settings: &Settings) -> Option<EvidenceValidity> {
        let max_list_age = settings.list_max_age?;
        let last_send = max_list_age + settings.drain_grace;
        let own_evidence = last_send - MARGIN.min(last_send / 4);
        Some(EvidenceValidity {
            max_list_age,
            own_evidence,
            list_evidence: own_evidence.saturating_sub(LIST_LAG.min(max_list_age / 3)),
        })
    }
}
