//! Identities: use once, expiry, and the limit.

use super::Identities;
use crate::replication::error::ReplicationError;

#[test]
fn identity_is_usable_once_until_it_expires() {
    let mut identities = Identities::new(3, [([1; 32], 50)], 20);
    let expired = Err(ReplicationError::IdentityExpired { shard: 3 });
    assert_eq!(
        identities.check(10, &[1; 32], 50, 9),
        Err(ReplicationError::DuplicateIdentity)
    );
    assert_eq!(identities.check(10, &[2; 32], 50, 9), Ok(()));
    identities.insert([2; 32], 50);
    assert_eq!(
        identities.check(10, &[2; 32], 50, 9),
        Err(ReplicationError::DuplicateIdentity)
    );
    // Another disk, whose clock is ahead, may have removed the identity; the clock here is behind.
    assert_eq!(identities.check(10, &[3; 32], 20, 9), expired);
    assert_eq!(identities.check(10, &[3; 32], 21, 9), Ok(()));
    // The identity has expired here, though a gateway whose clock is behind has accepted it.
    assert_eq!(identities.check(51, &[2; 32], 50, 9), expired);
    identities.remove(&[1; 32]);
    assert_eq!(identities.check(10, &[1; 32], 50, 9), Ok(()));
}

#[test]
fn limit_holds_when_clock_goes_backwards() {
    let mut identities = Identities::default();
    for n in 0..4 {
        assert_eq!(identities.check(1, &[n; 32], 10 + u64::from(n), 4), Ok(()));
        identities.insert([n; 32], 10 + u64::from(n));
    }
    assert_eq!(
        identities.check(5, &[9; 32], 40, 4),
        Err(ReplicationError::PrimaryOverloaded)
    );
    assert_eq!(
        identities.check(12, &[9; 32], 40, 4),
        Ok(()),
        "two have expired"
    );
    assert_eq!(
        identities.check(3, &[0; 32], 10, 4),
        Err(ReplicationError::IdentityExpired { shard: 0 }),
        "the clock went back"
    );
    assert_eq!(
        identities.check(3, &[3; 32], 13, 4),
        Err(ReplicationError::DuplicateIdentity)
    );
}
