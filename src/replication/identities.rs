//! Identities of calls that were accepted in a shard, each until its time stamp is no longer valid.
//!
//! Every disk removes identities by its own clock, and no two clocks are compared. So the primary
//! knows a bound: identities that were valid until then may have been removed, here or on a disk
//! that this content came from. An identity that is not valid beyond the bound cannot be told from
//! one that was used, and is rejected.

use std::collections::HashMap;

use super::error::ReplicationError;
use super::ShardId;
use crate::api::Micros;

#[cfg(test)]
mod tests;

/// The digest of an identity.
pub type IdentityDigest = [u8; 32];

/// Identities that were used in one shard.
#[derive(Clone, Debug, Default)]
pub struct Identities {
    shard: ShardId,
    valid_until: HashMap<IdentityDigest, Micros>,
    /// Identities that were valid until this time may have been removed; it only grows.
    expired_until: Micros,
}

impl Identities {
    /// Creates the identities that a disk holds of a shard.
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

    /// Checks whether an identity that is valid until a time may be used now, with at most `max`
    /// identities remembered.
    ///
    /// # Errors
    ///
    /// The identity was used, may have been used and removed, or too many are remembered.
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

    /// Notes that an identity is used.
    pub fn insert(&mut self, identity: IdentityDigest, valid_until: Micros) {
        self.valid_until.insert(identity, valid_until);
    }

    /// Notes that an identity was not used after all.
    pub fn remove(&mut self, identity: &IdentityDigest) {
        self.valid_until.remove(identity);
    }
}
