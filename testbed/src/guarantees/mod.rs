//! Plays real gateways against what callers were guaranteed: a signed call is taken once, a call
//! with a 202 is answered at its endpoints, and a keyed call is applied once. The seed draws
//! what other rigs hold fixed: portals' clocks, changes of tenants, keys, and when processes end.

mod homes;
mod keys;
mod replays;
mod tenants;
mod worker;

use std::fmt;
use std::io::{Error, Result};
use std::time::{Duration, Instant};

use base64::prelude::{Engine, BASE64_STANDARD};
use serde_json::json;

use crate::fakes::gateway::{Gateway, TempFolder};

use worker::RackWorker;

/// The class of calls that must never run twice.
const UNSAFE_CLASS: &str = crate::fakes::gateway::NON_IDEMPOTENT_CLASS;
/// The class of calls that are safe to repeat.
const SAFE_CLASS: &str = crate::fakes::gateway::READ_CLASS;
/// The class of calls with an idempotency key.
const KEYED_CLASS: &str = crate::fakes::gateway::KEYED_CLASS;
/// The class deadline of the played gateways, in milliseconds.
const DEADLINE_MS: f64 = 4_000.0;

/// The result of one seed.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// The seed.
    pub seed: u64,
    /// What was drawn.
    pub scenario: String,
    /// What broke a guarantee.
    pub violations: Vec<String>,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (seed, scenario) = (self.seed, &self.scenario);
        if self.violations.is_empty() {
            return write!(f, "{seed:>6}  holds   {scenario}");
        }
        write!(
            f,
            "{seed:>6}  BROKEN  {scenario}: {}",
            self.violations.join("; ")
        )
    }
}

/// A splitmix64 generator: the same seed draws the same scenario on any machine.
#[derive(Clone, Debug)]
struct Draw(u64);

impl Draw {
    /// Returns a number below `bound`.
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % bound.max(1)
    }

    fn one_of<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.below(all.len() as u64) as usize]
    }

    fn flip(&mut self) -> bool {
        self.below(2) == 1
    }
}

/// Plays one seed.
pub fn play(seed: u64) -> Result<Verdict> {
    let mut draw = Draw(seed);
    let folder = TempFolder::new(&format!("guarantees-{seed}"))?;
    match draw.below(3) {
        0 => replays::play(seed, &mut draw, &folder.0),
        1 => tenants::play(seed, &mut draw, &folder.0),
        _ => keys::play(seed, &mut draw, &folder.0),
    }
}

/// Plays consecutive seeds, `parallel` at a time, and prints a line for each. Returns whether all
/// guarantees were kept.
pub fn soak(seeds: u64, first_seed: u64, parallel: usize) -> Result<bool> {
    let mut all_kept = true;
    let all: Vec<u64> = (first_seed..first_seed + seeds).collect();
    for batch in all.chunks(parallel.max(1)) {
        let threads: Vec<_> = batch
            .iter()
            .map(|seed| {
                let seed = *seed;
                std::thread::spawn(move || play(seed))
            })
            .collect();
        for thread in threads {
            let verdict = thread
                .join()
                .map_err(|_| Error::other("the thread of a seed panicked"))??;
            println!("{verdict}");
            all_kept &= verdict.violations.is_empty();
        }
    }
    Ok(all_kept)
}

/// Waits until a condition holds; returns whether it did in time.
fn wait_until(timeout: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + timeout;
    while Instant::now() < end {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    holds()
}

/// Returns the body of a signed call with a payload; many calls may run at once.
fn signed_body(class: &str, payload: &str) -> Vec<u8> {
    let data = json!({ "class": class, "function": "0000000000000007", "lanes": 8,
                       "payload": BASE64_STANDARD.encode(payload) });
    json!({ "type": "call.requested", "data": data })
        .to_string()
        .into_bytes()
}

/// How a gateway's process ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Kill,
    Stop,
}

impl End {
    const ALL: [End; 2] = [End::Kill, End::Stop];

    fn apply(self, gateway: &mut Gateway) -> Result<()> {
        match self {
            End::Kill => gateway.kill(),
            End::Stop => gateway.stop().map(drop),
        }
    }
}
