//! `bench wheel`: compares the timing wheel of callback delivery with standard collections.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashSet};
use std::hint::black_box;
use std::io::Result;
use std::time::Instant;

use molelug::delivery::timing_wheel::TimingWheel;
use rand_chacha::rand_core::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Returns the mean time in nanoseconds of `n` operations that began at `begun`.
fn nanos_per_operation(started: Instant, n: usize) -> f64 {
    started.elapsed().as_nanos() as f64 / n as f64
}

/// Measures nanoseconds per operation: inserts all entries, cancels every other one, and expires
/// the rest in steps of one second.
pub fn wheel() -> Result<bool> {
    println!(
        "{:>9} {:<14} {:>9} {:>9} {:>9} {:>12}",
        "entries", "structure", "insert", "cancel", "expire", "bytes each"
    );
    for n in [10_000usize, 100_000, 1_000_000] {
        let mut random = ChaCha8Rng::seed_from_u64(7);
        // All entries are due within an hour, like callbacks that wait for their next attempt.
        let times: Vec<u64> = (0..n).map(|_| random.next_u64() % 3_600_000_000).collect();
        let row = |name: &str, i: f64, c: f64, e: f64, bytes: String| {
            println!("{n:>9} {name:<14} {i:>6.0} ns {c:>6.0} ns {e:>6.0} ns {bytes:>12}");
        };
        let mut w = TimingWheel::new(0);
        let started = Instant::now();
        let timers: Vec<_> = times
            .iter()
            .enumerate()
            .map(|(i, t)| w.insert(*t, i as u64))
            .collect();
        let insert = nanos_per_operation(started, n);
        let bytes = w.bytes() as f64 / n as f64;
        let started = Instant::now();
        timers.iter().step_by(2).for_each(|t| {
            black_box(w.cancel(*t));
        });
        let cancel = nanos_per_operation(started, n / 2);
        let started = Instant::now();
        let (mut expired, mut out) = (0, Vec::new());
        for second in 1..=3600u64 {
            w.expire(second * 1_000_000, &mut out);
            expired += out.drain(..).count();
        }
        row(
            "wheel",
            insert,
            cancel,
            nanos_per_operation(started, n / 2),
            format!("{bytes:.0}"),
        );
        assert_eq!(expired, n / 2);

        let mut set = BTreeSet::new();
        let started = Instant::now();
        times.iter().enumerate().for_each(|(i, t)| {
            set.insert((*t, i as u64));
        });
        let insert = nanos_per_operation(started, n);
        let started = Instant::now();
        times.iter().enumerate().step_by(2).for_each(|(i, t)| {
            black_box(set.remove(&(*t, i as u64)));
        });
        let cancel = nanos_per_operation(started, n / 2);
        let started = Instant::now();
        let mut expired = 0;
        for second in 1..=3600u64 {
            while set.first().is_some_and(|(t, _)| *t <= second * 1_000_000) {
                expired += usize::from(black_box(set.pop_first()).is_some());
            }
        }
        row(
            "BTreeSet",
            insert,
            cancel,
            nanos_per_operation(started, n / 2),
            "16 and nodes".into(),
        );
        assert_eq!(expired, n / 2);

        let (mut heap, mut cancelled) = (BinaryHeap::new(), HashSet::new());
        let started = Instant::now();
        times
            .iter()
            .enumerate()
            .for_each(|(i, t)| heap.push(Reverse((*t, i as u64))));
        let insert = nanos_per_operation(started, n);
        let started = Instant::now();
        // A heap cannot cancel: cancelled entries are marked and skipped when they are due.
        (0..n as u64).step_by(2).for_each(|i| {
            cancelled.insert(i);
        });
        let cancel = nanos_per_operation(started, n / 2);
        let started = Instant::now();
        let mut expired = 0;
        for second in 1..=3600u64 {
            while heap
                .peek()
                .is_some_and(|Reverse((t, _))| *t <= second * 1_000_000)
            {
                let Some(Reverse((_, i))) = heap.pop() else {
                    break;
                };
                expired += usize::from(!cancelled.remove(&i));
            }
        }
        row(
            "BinaryHeap",
            insert,
            cancel,
            nanos_per_operation(started, n / 2),
            "16 and marks".into(),
        );
        assert_eq!(expired, n / 2);
    }
    Ok(true)
}
