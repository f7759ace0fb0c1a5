//! Copies: machines lost with their disks while calls are under way, and all else that breaks between gateways.

use std::io::{Error, Result};
use std::time::{Duration, Instant};

use rand_chacha::rand_core::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fleet::{Fleet, Shape};
use crate::fault_proxy::Faults;
use crate::history::promises::Promised;

/// What may break.
pub const FAULTS: [&str; 12] = [
    "a primary's machine lost",
    "two machines lost one after the other",
    "a process killed",
    "a process stopped and woken",
    "cut off from all",
    "cut off one way",
    "replies two seconds slow",
    "a third of all frames lost",
    "all killed at once",
    "yesterday's disk",
    "a disk that changed what it holds",
    "a full disk",
];

/// What one round did.
#[derive(Debug, Default)]
pub struct Round {
    /// The faults, in order.
    pub faults: Vec<&'static str>,
    /// What the history held.
    pub held: Promised,
    /// From each loss of a primary's machine to the next promise in one of its shards, milliseconds.
    pub gaps_ms: Vec<f64>,
}

fn below(random: &mut ChaCha8Rng, n: u64) -> u64 {
    random.next_u64() % n
}

/// One fault, and the end of it.
pub fn fault(
    fleet: &mut Fleet,
    what: &'static str,
    shape: &Shape,
    random: &mut ChaCha8Rng,
    round: &mut Round,
) -> Result<()> {
    let n = below(random, shape.instances as u64) as usize;
    let led = fleet.led();
    let shards: Vec<&(u64, usize, Vec<String>)> = led.values().collect();
    let primary = shards
        .get(below(random, shards.len().max(1) as u64) as usize)
        .map_or(n, |s| s.1);
    round.faults.push(what);
    match what {
        "a primary's machine lost" => {
            let mine: Vec<u16> = led
                .iter()
                .filter(|(_, s)| s.1 == primary)
                .map(|(id, _)| *id)
                .collect();
            fleet.lose(primary)?;
            let from = Instant::now();
            fleet.await_that("another primary", || {
                let led = fleet.led();
                mine.iter()
                    .all(|id| led.get(id).is_some_and(|s| s.1 != primary))
            })?;
            round.gaps_ms.push(from.elapsed().as_secs_f64() * 1e3);
            fleet.promised_more(10)?;
            fleet.run(primary)?;
        }
        "two machines lost one after the other" => {
            fleet.lose(primary)?;
            // The second once what the first held stands on enough machines again.
            fleet.whole()?;
            let next = (primary + 1) % shape.instances;
            fleet.lose(next)?;
            fleet.promised_more(10)?;
            fleet.run(primary)?;
            fleet.run(next)?;
        }
        "a process killed" => {
            fleet.kill(n)?;
            fleet.promised_more(5)?;
            fleet.run(n)?;
        }
        "a process stopped and woken" => {
            fleet.gateway(primary)?.freeze()?;
            fleet.await_that("another primary", || {
                fleet
                    .led()
                    .values()
                    .filter(|s| s.2.len() == shape.copies)
                    .all(|s| s.1 != primary)
            })?;
            fleet.gateway(primary)?.thaw()?;
            fleet.promised_more(10)?;
        }
        "cut off from all" | "cut off one way" | "replies two seconds slow" => {
            let cut = Faults {
                cut: true,
                ..Faults::default()
            };
            let (leaves, comes) = match what {
                "cut off from all" => (cut, cut),
                "cut off one way" => (cut, Faults::default()),
                _ => (
                    Faults {
                        delay_ms: 2_000,
                        ..Faults::default()
                    },
                    Faults::default(),
                ),
            };
            fleet.around(primary, leaves, comes);
            fleet.promised_more(30)?;
            std::thread::sleep(Duration::from_millis(1_000));
            fleet.around(primary, Faults::default(), Faults::default());
        }
        "a third of all frames lost" => {
            fleet.everywhere(Faults {
                lost: 30,
                doubled: 3,
                jitter_ms: 20,
                ..Faults::default()
            });
            std::thread::sleep(Duration::from_millis(2_500));
            fleet.everywhere(Faults::default());
        }
        "all killed at once" => {
            for n in 0..shape.instances {
                fleet.kill(n)?;
            }
            for n in 0..shape.instances {
                fleet.run(n)?;
            }
        }
        "a disk that changed what it holds" => {
            // It ends in order, as a file that was not closed is looked through when it is opened.
            fleet.gateway(primary)?.end()?;
            fleet.wait(primary)?;
            if fleet.damage(primary)? > 0 {
                let before = fleet.damages(primary);
                fleet.run(primary)?;
                fleet.await_that("the damage to be found and mended", || {
                    fleet.damages(primary) > before && fleet.is_mended(primary)
                })?;
            } else {
                fleet.run(primary)?;
            }
        }
        "a full disk" => {
            fleet.kill(n)?;
            fleet.run_with_room(n, 256)?;
            let name = crate::lease_trials::name(n);
            let held = |fleet: &Fleet| fleet.led().values().any(|s| s.2.contains(&name));
            fleet.await_that("one whose disk is full to be left out", || !held(fleet))?;
            fleet.promised_more(10)?;
            fleet.kill(n)?;
            fleet.run(n)?;
        }
        _ => {
            // A copy of the store from before one more start; the council's seat stays as it is.
            let store = fleet.home(n).join("store");
            let old = fleet.home(n).join("yesterday");
            fleet.kill(n)?;
            std::fs::copy(&store, &old)?;
            fleet.run(n)?;
            fleet.promised_more(10)?;
            fleet.kill(n)?;
            std::fs::copy(&old, &store)?;
            fleet.run(n)?;
        }
    }
    // Not before all is as it has to be again: sets are whole, and promises go on.
    fleet.whole()?;
    fleet.promised_more(10)
}

/// One round: faults drawn by the seed, and the judgement.
pub fn play(shape: &Shape, seed: u64, faults: usize, only: Option<&'static str>) -> Result<Round> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::start(shape.clone(), seed)?;
    fleet.whole()?;
    fleet.call(4);
    fleet.promised_more(20)?;
    let mut round = Round::default();
    for _ in 0..faults {
        let what = only.unwrap_or(FAULTS[below(&mut random, FAULTS.len() as u64) as usize]);
        fault(&mut fleet, what, shape, &mut random, &mut round)
            .map_err(|e| Error::other(format!("{what}: {e}")))?;
    }
    let (held, wrong) = fleet.judge()?;
    if !wrong.is_empty() {
        let shown = wrong
            .iter()
            .take(6)
            .map(ToString::to_string)
            .collect::<Vec<_>>()
            .join("; ");
        return Err(Error::other(format!(
            "{:?}: {} wrong: {shown}",
            round.faults,
            wrong.len()
        )));
    }
    round.held = held;
    Ok(round)
}

/// `rounds cost`: what a promise costs, without copies and with one to three: one fleet after the other, callers that wait
/// for their answers.
pub fn cost(instances: usize, seconds: u64) -> Result<bool> {
    for callers in [1usize, 16, 128] {
        for copies in [0usize, 1, 2, 3] {
            let shape = Shape {
                instances,
                copies: copies.max(1),
                on: copies > 0,
                ..Shape::default()
            };
            let fleet = Fleet::start(shape, 900)?;
            if copies > 0 {
                fleet.whole()?;
            }
            let end = Instant::now() + Duration::from_secs(seconds);
            let threads: Vec<_> = (0..callers)
                .map(|c| {
                    let desk = fleet.desk();
                    std::thread::spawn(move || {
                        desk.send_until(c % instances, &format!("c{c}"), end)
                    })
                })
                .collect();
            let mut all = hdrhistogram::Histogram::<u64>::new(3).map_err(Error::other)?;
            let mut refused = 0;
            for t in threads {
                let (micros, other) = t.join().map_err(|_| Error::other("a caller failed"))?;
                for us in micros {
                    all.record(us).map_err(Error::other)?;
                }
                refused += other;
            }
            println!(
                "{callers} callers, {}: {} promised a second, p50 {} us, p99 {} us, {refused} turned away",
                if copies == 0 { "store alone".to_owned() } else { format!("{copies} copies") },
                all.len() / seconds.max(1),
                all.value_at_quantile(0.5),
                all.value_at_quantile(0.99),
            );
        }
    }
    Ok(true)
}

/// `rounds copies`: rounds from a seed on, and what came of them.
pub fn run(shape: &Shape, rounds: u64, seed: u64, faults: usize) -> Result<bool> {
    let (mut passed, mut failed) = (0, 0);
    let mut gaps = Vec::new();
    for seed in seed..seed + rounds {
        match play(shape, seed, faults, None) {
            Ok(r) => {
                passed += 1;
                gaps.extend(&r.gaps_ms);
                let h = &r.held;
                println!(
                    "seed {seed}: {:?}; {} calls promised ({} of which nobody can tell), {} turned away, {} records, \
                     {} epochs, {} late words refused, {} snapshots",
                    r.faults, h.calls, h.unknown, h.refused, h.records, h.epochs, h.declined, h.installed
                );
            }
            Err(e) => {
                failed += 1;
                println!("seed {seed}: FAILED: {e}");
            }
        }
    }
    gaps.sort_by(f64::total_cmp);
    if let (Some(half), Some(most)) = (gaps.get(gaps.len() / 2), gaps.last()) {
        println!(
            "from a machine's loss to the next primary p50 {half:.0} ms, most {most:.0} ms over {}",
            gaps.len()
        );
    }
    println!("{passed} passed, {failed} failed");
    Ok(failed == 0)
}
