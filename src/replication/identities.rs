//! Identities taken in a shard that is led here, each for as long as its time stamp would be accepted.
//!
//! Every disk forgets by its own clock, and no two clocks are compared. So whoever leads knows a bound: identities that counted
//! until then may have been forgotten, here or by a disk that this content came from. One whose time is not beyond the
//! bound cannot be told from one that was taken, and is refused.

use std::collections::HashMap;

use super::error::ReplicationError;
use super::ShardId;
use crate::api::Micros;

/// The digest of an identity.
pub type IdentityDigest = [u8; 32];

/// Identities taken in one shard.
#[derive(Clone, Debug, Default)]
pub struct Identities {
    shard: ShardId,
    marks: HashMap<IdentityDigest, Micros>,
    /// Identities that counted until then may have been forgotten; it only grows.
    forgotten: Micros,
}

impl Identities {
    /// Those that a disk holds of a shard.
    pub fn new(
        shard: ShardId,
        marks: impl IntoIterator<Item = (IdentityDigest, Micros)>,
        forgotten: Micros,
    ) -> Identities {
        Identities {
            shard,
            marks: marks.into_iter().collect(),
            forgotten,
        }
    }

    /// Whether one may be taken now, which counts until then; at most so many are remembered.
    pub fn check(
        &mut self,
        now: Micros,
        mark: &IdentityDigest,
        until: Micros,
        most: usize,
    ) -> Result<(), ReplicationError> {
        if self
            .marks
            .get(mark)
            .is_some_and(|t| *t >= now.max(self.forgotten))
        {
            return Err(ReplicationError::DuplicateIdentity);
        }
        if self.marks.len() >= most {
            self.marks.retain(|_, t| *t >= now);
            self.forgotten = self.forgotten.max(now);
        }
        if until <= self.forgotten || until < now {
            return Err(ReplicationError::IdentityExpired { shard: self.shard });
        }
        if self.marks.len() >= most {
            return Err(ReplicationError::PrimaryOverloaded);
        }
        Ok(())
    }

    /// One is taken.
    pub fn insert(&mut self, mark: IdentityDigest, until: Micros) {
        self.marks.insert(mark, until);
    }

    /// It was not taken after all.
    pub fn remove(&mut self, mark: &IdentityDigest) {
        self.marks.remove(mark);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_is_taken_once_as_long_as_it_counts_and_never_where_it_may_have_been_forgotten() {
        let mut all = Identities::new(3, [([1; 32], 50)], 20);
        let late = Err(ReplicationError::IdentityExpired { shard: 3 });
        assert_eq!(all.check(10, &[1; 32], 50, 9), Err(ReplicationError::DuplicateIdentity));
        assert_eq!(all.check(10, &[2; 32], 50, 9), Ok(()));
        all.insert([2; 32], 50);
        assert_eq!(all.check(10, &[2; 32], 50, 9), Err(ReplicationError::DuplicateIdentity));
        // Another disk, whose clock is ahead, may have forgotten it; the clock here has not come so far.
        assert_eq!(all.check(10, &[3; 32], 20, 9), late);
        assert_eq!(all.check(10, &[3; 32], 21, 9), Ok(()));
        // Its time is over here, though a gateway whose clock is behind has accepted it.
        assert_eq!(all.check(51, &[2; 32], 50, 9), late);
        all.remove(&[1; 32]);
        assert_eq!(all.check(10, &[1; 32], 50, 9), Ok(()));
    }

    #[test]
    fn it_is_bounded_and_remembers_what_it_let_go_of_also_when_the_clock_steps_back() {
        let mut all = Identities::default();
        for n in 0..4 {
            assert_eq!(all.check(1, &[n; 32], 10 + u64::from(n), 4), Ok(()));
            all.insert([n; 32], 10 + u64::from(n));
        }
        assert_eq!(all.check(5, &[9; 32], 40, 4), Err(ReplicationError::PrimaryOverloaded));
        assert_eq!(all.check(12, &[9; 32], 40, 4), Ok(()), "two are over");
        assert_eq!(
            all.check(3, &[0; 32], 10, 4),
            Err(ReplicationError::IdentityExpired { shard: 0 }),
            "the clock went back"
        );
        assert_eq!(all.check(3, &[3; 32], 13, 4), Err(ReplicationError::DuplicateIdentity));
    }
}
