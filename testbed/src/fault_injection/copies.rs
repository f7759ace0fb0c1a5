//! Fault rounds on replicated stores: lost machines, failing processes, links and disks under load.

use std::io::{Error, Result};
use std::time::{Duration, Instant};

use rand_chacha::rand_core::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fleet::{Fleet, FleetConfig};
use crate::fault_proxy::Faults;
use crate::history::promises::DurabilityCounts;

/// Faults that a round can inject.
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

/// Result of one round.
#[derive(Debug, Default)]
pub struct Round {
    /// Injected faults, in order.
    pub faults: Vec<&'static str>,
    /// Counts from the checked histories.
    pub counts: DurabilityCounts,
    /// Milliseconds from each loss of a primary's machine until all its shards have another
    /// primary.
    pub gaps_ms: Vec<f64>,
}

fn random_below(random: &mut ChaCha8Rng, n: u64) -> u64 {
    random.next_u64() % n
}

/// Injects one fault, removes it, and waits until the fleet has recovered.
pub fn inject_fault(
    fleet: &mut Fleet,
    what: &'static str,
    config: &FleetConfig,
    random: &mut ChaCha8Rng,
    round: &mut Round,
) -> Result<()> {
    let n = random_below(random, config.instances as u64) as usize;
    let leaders = fleet.shard_leaders();
    let shards: Vec<&(u64, usize, Vec<String>)> = leaders.values().collect();
    let primary = shards
        .get(random_below(random, shards.len().max(1) as u64) as usize)
        .map_or(n, |s| s.1);
    round.faults.push(what);
    match what {
        "a primary's machine lost" => {
            let led_shards: Vec<u16> = leaders
                .iter()
                .filter(|(_, s)| s.1 == primary)
                .map(|(id, _)| *id)
                .collect();
            fleet.lose_machine(primary)?;
            let from = Instant::now();
            fleet.wait_until("another primary", || {
                let leaders = fleet.shard_leaders();
                led_shards
                    .iter()
                    .all(|id| leaders.get(id).is_some_and(|s| s.1 != primary))
            })?;
            round.gaps_ms.push(from.elapsed().as_secs_f64() * 1e3);
            fleet.wait_for_promises(10)?;
            fleet.start_instance(primary)?;
        }
        "two machines lost one after the other" => {
            fleet.lose_machine(primary)?;
            // Loses the second machine only once the first one's shards have enough members again.
            fleet.wait_for_full_sets()?;
            let next = (primary + 1) % config.instances;
            fleet.lose_machine(next)?;
            fleet.wait_for_promises(10)?;
            fleet.start_instance(primary)?;
            fleet.start_instance(next)?;
        }
        "a process killed" => {
            fleet.kill(n)?;
            fleet.wait_for_promises(5)?;
            fleet.start_instance(n)?;
        }
        "a process stopped and woken" => {
            fleet.gateway(primary)?.suspend()?;
            fleet.wait_until("another primary", || {
                fleet
                    .shard_leaders()
                    .values()
                    .filter(|s| s.2.len() == config.copies)
                    .all(|s| s.1 != primary)
            })?;
            fleet.gateway(primary)?.resume()?;
            fleet.wait_for_promises(10)?;
        }
        "cut off from all" | "cut off one way" | "replies two seconds slow" => {
            let cut = Faults {
                cut: true,
                ..Faults::default()
            };
            let (outbound, inbound) = match what {
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
            fleet.set_instance_faults(primary, outbound, inbound);
            fleet.wait_for_promises(30)?;
            std::thread::sleep(Duration::from_millis(1_000));
            fleet.set_instance_faults(primary, Faults::default(), Faults::default());
        }
        "a third of all frames lost" => {
            fleet.set_all_faults(Faults {
                drop_percent: 30,
                duplicate_percent: 3,
                jitter_ms: 20,
                ..Faults::default()
            });
            std::thread::sleep(Duration::from_millis(2_500));
            fleet.set_all_faults(Faults::default());
        }
        "all killed at once" => {
            for n in 0..config.instances {
                fleet.kill(n)?;
            }
            for n in 0..config.instances {
                fleet.start_instance(n)?;
            }
        }
        "a disk that changed what it holds" => {
            // Shuts down in order, because a store that was not closed is checked when it is
            // opened.
            fleet.gateway(primary)?.terminate()?;
            fleet.wait_for_exit(primary)?;
            if fleet.corrupt_store(primary)? > 0 {
                let before = fleet.detected_damages(primary);
                fleet.start_instance(primary)?;
                fleet.wait_until("the damage to be found and mended", || {
                    fleet.detected_damages(primary) > before && fleet.is_repaired(primary)
                })?;
            } else {
                fleet.start_instance(primary)?;
            }
        }
        "a full disk" => {
            fleet.kill(n)?;
            fleet.start_with_room(n, 256)?;
            let name = crate::lease_trials::instance_name(n);
            let held = |fleet: &Fleet| fleet.shard_leaders().values().any(|s| s.2.contains(&name));
            fleet.wait_until("one whose disk is full to be left out", || !held(fleet))?;
            fleet.wait_for_promises(10)?;
            fleet.kill(n)?;
            fleet.start_instance(n)?;
        }
        _ => {
            // Puts back a copy of the store from before one more start; the voter's seat stays.
            let store = fleet.home(n).join("store");
            let old = fleet.home(n).join("yesterday");
            fleet.kill(n)?;
            std::fs::copy(&store, &old)?;
            fleet.start_instance(n)?;
            fleet.wait_for_promises(10)?;
            fleet.kill(n)?;
            std::fs::copy(&old, &store)?;
            fleet.start_instance(n)?;
        }
    }
    // The next fault starts only once all sets are complete and promises continue.
    fleet.wait_for_full_sets()?;
    fleet.wait_for_promises(10)
}

/// Runs one round: injects faults drawn from the seed, or `only` one kind, and checks the
/// histories.
pub fn run_round(
    config: &FleetConfig,
    seed: u64,
    faults: usize,
    only: Option<&'static str>,
) -> Result<Round> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::start(config.clone(), seed)?;
    fleet.wait_for_full_sets()?;
    fleet.start_callers(4);
    fleet.wait_for_promises(20)?;
    let mut round = Round::default();
    for _ in 0..faults {
        let what = only.unwrap_or(FAULTS[random_below(&mut random, FAULTS.len() as u64) as usize]);
        inject_fault(&mut fleet, what, config, &mut random, &mut round)
            .map_err(|e| Error::other(format!("{what}: {e}")))?;
    }
    let (counts, wrong) = fleet.judge()?;
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
    round.counts = counts;
    Ok(round)
}

/// `rounds cost`: measures throughput and latency of promises without replication and with one to
/// three copies, one fleet after the other, with callers that each wait for the response.
pub fn cost(instances: usize, seconds: u64) -> Result<bool> {
    for callers in [1usize, 16, 128] {
        for copies in [0usize, 1, 2, 3] {
            let config = FleetConfig {
                instances,
                copies: copies.max(1),
                replicated: copies > 0,
                ..FleetConfig::default()
            };
            let fleet = Fleet::start(config, 900)?;
            if copies > 0 {
                fleet.wait_for_full_sets()?;
            }
            let end = Instant::now() + Duration::from_secs(seconds);
            let threads: Vec<_> = (0..callers)
                .map(|c| {
                    let sender = fleet.call_sender();
                    std::thread::spawn(move || {
                        sender.send_until(c % instances, &format!("c{c}"), end)
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

/// `rounds copies`: runs rounds with consecutive seeds and prints their results.
pub fn run(config: &FleetConfig, rounds: u64, seed: u64, faults: usize) -> Result<bool> {
    let (mut passed, mut failed) = (0, 0);
    let mut gaps = Vec::new();
    for seed in seed..seed + rounds {
        match run_round(config, seed, faults, None) {
            Ok(r) => {
                passed += 1;
                gaps.extend(&r.gaps_ms);
                let h = &r.counts;
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
