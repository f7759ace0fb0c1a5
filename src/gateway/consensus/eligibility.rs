//! Whether this gateway is eligible to hold leases.

use super::transport::MIN_FREE_DESCRIPTORS;
use crate::api::Micros;
use crate::consensus::participant::Input;
use crate::gateway::Gateway;

/// The conditions for this gateway's eligibility.
#[derive(Debug)]
pub(super) struct Eligibility {
    /// Whether the subsystems that work under leases can do so here.
    subsystems_capable: bool,
    has_free_descriptors: bool,
    /// Whether the process is shutting down.
    draining: bool,
    /// The eligibility that the participant was notified of last.
    pub(super) announced: bool,
}

impl Default for Eligibility {
    fn default() -> Eligibility {
        Eligibility {
            subsystems_capable: true,
            has_free_descriptors: true,
            draining: false,
            announced: true,
        }
    }
}

impl Eligibility {
    /// Updates the condition on free descriptors, with hysteresis, so that a single descriptor does
    /// not move leases back and forth.
    fn set_free_descriptors(&mut self, free: usize) {
        let required = if self.has_free_descriptors {
            MIN_FREE_DESCRIPTORS
        } else {
            MIN_FREE_DESCRIPTORS + MIN_FREE_DESCRIPTORS / 4
        };
        self.has_free_descriptors = free >= required;
    }

    fn is_eligible(&self) -> bool {
        self.subsystems_capable && self.has_free_descriptors && !self.draining
    }
}

impl Gateway {
    /// Sets whether the subsystems that work under leases can do so here.
    pub(in crate::gateway) fn set_subsystems_capable(&mut self, capable: bool) {
        if let Some(driver) = &mut self.cluster.consensus {
            driver.eligibility.subsystems_capable = capable;
        }
        self.update_eligibility();
    }

    /// Notifies the participant if this gateway's eligibility to hold leases has changed.
    pub(super) fn update_eligibility(&mut self) {
        let free = self
            .max_descriptors()
            .saturating_sub(self.connections.len());
        let Some(driver) = &mut self.cluster.consensus else {
            return;
        };
        let eligibility = &mut driver.eligibility;
        eligibility.set_free_descriptors(free);
        let eligible = eligibility.is_eligible();
        if std::mem::replace(&mut eligibility.announced, eligible) == eligible {
            return;
        }
        tracing::warn!(
            eligible,
            has_free_descriptors = eligibility.has_free_descriptors,
            draining = eligibility.draining,
            "lease eligibility changed"
        );
        self.handle_consensus(Input::SetEligible(eligible));
    }

    /// Releases the leases, as the process is shutting down.
    pub(in crate::gateway) fn release_leases(&mut self, now: Micros) {
        if let Some(driver) = &mut self.cluster.consensus {
            driver.eligibility.draining = true;
        }
        self.update_eligibility();
        self.step_consensus(now);
    }
}
