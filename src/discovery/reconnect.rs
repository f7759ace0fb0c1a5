//! The backoff between connections to service discovery.

use crate::api::Micros;

/// The base pause before jitter.
const BASE_PAUSE: Micros = 100_000;
/// The maximum pause before jitter, equal to the heartbeat interval of discovery.
const MAX_PAUSE: Micros = 1_000_000;
/// The maximum number of doublings of the pause.
const MAX_DOUBLINGS: u32 = 4;

/// Returns the pause before the next connection after `failed_connects` consecutive failures. The exponential backoff
/// has a jitter of up to half the pause either way that depends on `seed`, so that the gateways of a fleet that lose
/// discovery at the same time do not reconnect at the same time.
pub fn reconnect_pause(seed: u64, failed_connects: u32) -> Micros {
    let pause = (BASE_PAUSE << failed_connects.min(MAX_DOUBLINGS)).min(MAX_PAUSE);
    let jitter = hash(seed ^ u64::from(failed_connects)) % pause;
    pause / 2 + jitter
}

/// Hashes a value with the SplitMix64 finalizer.
fn hash(value: u64) -> u64 {
    let mut hash = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
