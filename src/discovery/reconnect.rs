//! When a new connection to service discovery is made after the last one ended.

use crate::api::Micros;

/// The first pause.
const FIRST_PAUSE: Micros = 100_000;
/// The longest pause; a heartbeat comes that often.
const MAX_PAUSE: Micros = 1_000_000;
/// How often the pause doubles at most.
const MAX_DOUBLINGS: u32 = 4;

/// The pause before the next connection, after so many that failed in a row. It grows with them and differs between
/// gateways by up to a half each way, so that a fleet that lost discovery at once does not come back at once.
pub fn reconnect_pause(seed: u64, failed_connects: u32) -> Micros {
    let pause = (FIRST_PAUSE << failed_connects.min(MAX_DOUBLINGS)).min(MAX_PAUSE);
    let spread = hash(seed ^ u64::from(failed_connects)) % pause;
    pause / 2 + spread
}

/// The finalizer of SplitMix64.
fn hash(value: u64) -> u64 {
    let mut hash = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
