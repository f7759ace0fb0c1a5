//! Damage of a replica, and the evidence for it.
//!
//! Damage is suspected if one read finds rows that do not match their checksums. A replica with
//! suspected damage does not count, but its data is given up only if a second read, which begins
//! after the first one has failed, confirms the damage.

/// The evidence for damage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DamageEvidence {
    /// One read has found the damage.
    Suspected,
    /// A second read is in progress.
    BeingVerified,
    /// A second read has found the damage, too.
    Confirmed,
}

/// Damage of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Damage {
    /// The ranges whose rows do not match their checksums.
    pub ranges: Vec<u8>,
    /// The evidence for the damage.
    pub evidence: DamageEvidence,
    /// Whether the wait of this disk for another member was reported.
    pub wait_reported: bool,
}

impl Damage {
    /// Returns damage that one read has found.
    pub fn suspected(ranges: Vec<u8>) -> Damage {
        Damage {
            ranges,
            evidence: DamageEvidence::Suspected,
            wait_reported: false,
        }
    }

    /// Returns whether two reads have found the damage.
    pub fn is_confirmed(&self) -> bool {
        self.evidence == DamageEvidence::Confirmed
    }
}
