//! Identities of the calls that were accepted in a shard, each kept until its time stamp expires.
//!
//! Every disk removes expired identities by its own clock, and clocks are not compared. So the
//! primary keeps a bound: identities that expired by then may have been removed, from this disk or
//! from a disk that its content was copied from. An identity that is not valid beyond the bound may
//! have been used before, and is rejected.

use std::collections::HashMap;

use super::error::ReplicationError;
use super::ShardId;
use crate::api::Micros;

#[cfg(test)]
mod tests;

/// The digest of an identity.
pub type IdentityDigest = [u8; 32];

/// The used identities of one shard.
#[derive(Clone, Debug, Default)]
pub struct Identities {
    shard: ShardId,
    valid_until: HashMap<IdentityDigest, Micros>,
    /// Identities that expired by this time may have been removed; it never decreases.
    expired_until: Micros,
}

impl Identities {
    /// Creates the set of identities that a disk holds for a shard.
    pub fn new(
        shard: ShardId,
        identities: impl IntoIterator<Item = (IdentityDigest, Micros)>,
        expired_until: Micros,
    ) -> Identities {
        Identities {
            shard,
            valid_until: identities.into_iter().collect(),
            expired_until,
        }
    }

    /// Checks whether an identity that is valid until `valid_until` may be used at `now`. At most
    /// `max` identities are kept.
    ///
    /// # Errors
    ///
    /// Returns an error if the identity was used, if it may have been used and removed, or if too
    /// many identities are kept.
    pub fn check(
        &mut self,
        now: Micros,
        identity: &IdentityDigest,
        valid_until: Micros,
        max: usize,
    ) -> Result<(), ReplicationError> {
        let earliest = now.max(self.expired_until);
        let known = self.valid_until.get(identity);
        if known.is_some_and(|valid_until| *valid_until >= earliest) {
            return Err(ReplicationError::DuplicateIdentity);
        }
        if self.valid_until.len() >= max {
            self.valid_until
                .retain(|_, valid_until| *valid_until >= now);
            self.expired_until = self.expired_until.max(now);
        }
        if valid_until <= self.expired_until || valid_until < now {
            return Err(ReplicationError::IdentityExpired { shard: self.shard });
        }
        if self.valid_until.len() >= max {
            return Err(ReplicationError::PrimaryOverloaded);
        }
        Ok(())
    }

    /// Marks an identity as used.
    pub fn insert(&mut self, identity: IdentityDigest, valid_until: Micros) {
        self.valid_until.insert(identity, valid_until);
    }

    /// Removes an identity that was not used after all.
    pub fn remove(&mut self, identity: &IdentityDigest) {
        self.valid_until.remove(identity);
    }
}
