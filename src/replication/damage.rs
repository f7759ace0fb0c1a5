//! Damage of a replica, and how far it is established.
//!
//! One read that finds rows which do not match their checksums is a suspicion. It suffices to keep
//! the replica from counting, but not to give data up: that takes a second read, which began after
//! the first one had failed.

/// How far damage is established.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DamageEvidence {
    /// One read has found it.
    Suspected,
    /// A second read is under way.
    BeingVerified,
    /// A second read has found it, too.
    Confirmed,
}

/// Damage of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Damage {
    /// The ranges whose rows do not match their checksums.
    pub ranges: Vec<u8>,
    /// How far the damage is established.
    pub evidence: DamageEvidence,
    /// Whether it was reported that this disk waits for another member.
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
