//! `crash`: kills gateways with SIGKILL at random moments, restarts them on the same store, and
//! checks afterwards that accepted calls, runs and callbacks match.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Error, Result};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use molelug::delivery::response::{DeadLetterReason, MessageState};
use molelug::store::disk::Disk;
use molelug::store::operations::{Filter, Op, Reply};
use rand_chacha::rand_core::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fakes::gateway::{TempFolder, KEYED_CLASS, NON_IDEMPOTENT_CLASS, READ_CLASS};
use crate::fakes::{
    call_body, secret, secret_text, status, Caller, Gateway, Portal, PortalBehavior, Worker,
};

/// Result of one round.
#[derive(Debug, Default)]
struct Round {
    kills: u32,
    accepted: usize,
    delivered: usize,
    unknown_calls: usize,
    unknown_callbacks: usize,
}

fn random_below(random: &mut ChaCha8Rng, n: u64) -> u64 {
    random.next_u64() % n
}

/// Runs rounds with consecutive seeds and prints their results. Returns `true` if all passed.
pub fn run(seed: u64, rounds: u64) -> Result<bool> {
    let (mut passed, mut failed) = (0, 0);
    for round in 0..rounds {
        let seed = seed + round;
        match run_round(seed) {
            Ok(r) => {
                passed += 1;
                println!(
                    "seed {seed}: {} kills, {} calls taken, {} callbacks delivered, {} calls and {} callbacks of \
                     which nobody can tell",
                    r.kills, r.accepted, r.delivered, r.unknown_calls, r.unknown_callbacks
                );
            }
            Err(e) => {
                failed += 1;
                println!("seed {seed}: FAILED: {e}");
            }
        }
    }
    println!("{passed} passed, {failed} failed");
    Ok(failed == 0)
}

fn run_round(seed: u64) -> Result<Round> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let folder = TempFolder::new(&format!("crash-{seed}"))?;
    let delay = |r: &mut ChaCha8Rng| Duration::from_millis(random_below(r, 12));
    let workers: Vec<Worker> = (0..3)
        .map(|n| Worker::start(delay(&mut random), [0, 9, 14][n]))
        .collect::<Result<_>>()?;
    let manners = [
        PortalBehavior::Good,
        PortalBehavior::Cuts(5),
        PortalBehavior::Fails(4),
        PortalBehavior::Slow(15),
    ];
    let portals: Vec<Portal> = manners
        .iter()
        .map(|m| Portal::start(secret(1), *m))
        .collect::<Result<_>>()?;
    let mut operator = String::from(
        "[webhooks]\nlisten = \"127.0.0.1:0\"\nstore = \"store\"\ncallback_answer_ms = 2000\n\
         schedule_s = [0.05, 0.1, 0.2, 0.4, 0.8, 1, 1, 1, 2, 2, 2, 2]\n",
    );
    for (n, p) in portals.iter().enumerate() {
        operator.push_str(&format!(
            "[[tenants]]\nname = \"t{n}\"\nportal = \"http://{}/in\"\nsecrets = [\"{}\"]\n",
            p.address,
            secret_text(1)
        ));
    }
    let mut round = Round::default();
    // Calls answered with 202. A call without a response may or may not have been accepted.
    let accepted: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let mut sent = 0u64;
    let starts = 2 + random_below(&mut random, 3);
    for start in 0..starts {
        let mut g = Gateway::start(&folder.0, &workers, &operator, 900.0)?;
        let to = g
            .webhooks
            .ok_or_else(|| Error::other("the gateway has no webhook listener"))?;
        let callers: Vec<_> = (0..4u64)
            .map(|c| {
                let (from, accepted_here) = (sent + c * 1000, accepted.clone());
                std::thread::spawn(move || {
                    let (mut caller, secret) = (Caller::new(to), secret(1));
                    for n in from..from + 60 {
                        let class = [READ_CLASS, NON_IDEMPOTENT_CLASS, KEYED_CLASS][n as usize % 3];
                        let text = call_body(class, n % 7, None);
                        let id = format!("call-{n}");
                        match caller.call(&format!("t{}", n % 4), &secret, &id, &text) {
                            Ok(answer) if status(&answer) == 202 => {
                                if let Ok(mut t) = accepted_here.lock() {
                                    t.insert(id);
                                }
                            }
                            Ok(_) => {}
                            Err(_) => return,
                        }
                    }
                })
            })
            .collect();
        sent += 10_000;
        if start + 1 < starts {
            std::thread::sleep(Duration::from_micros(
                2_000 + random_below(&mut random, 250_000),
            ));
            g.kill()?;
            round.kills += 1;
        }
        for caller in callers {
            caller.join().map_err(|_| Error::other("a caller failed"))?;
        }
        if start + 1 == starts {
            wait_until_delivered(&folder, g)?;
        }
    }
    let accepted = accepted
        .lock()
        .map_err(|_| Error::other("a caller failed"))?
        .clone();
    round.accepted = accepted.len();
    check_accepted_calls(&folder, &accepted, &workers, &portals, &mut round)?;
    Ok(round)
}

/// Waits until the store has no open calls and no waiting messages: stops the gateway in order,
/// inspects the store, and restarts the gateway while anything remains.
fn wait_until_delivered(folder: &TempFolder, mut g: Gateway) -> Result<()> {
    let end = Instant::now() + Duration::from_secs(60);
    loop {
        std::thread::sleep(Duration::from_millis(1500));
        g.stop()?;
        let (mut disk, found) = open(folder)?;
        let Some(Ok(Reply::Stats(stat))) =
            disk.commit([Op::Stats], now()).map_err(Error::other)?.pop()
        else {
            return Err(Error::other("the store returned no statistics"));
        };
        drop(disk);
        if stat.waiting == 0 && stat.calls == 0 && found == 0 {
            return Ok(());
        }
        if Instant::now() > end {
            return Err(Error::other(format!(
                "the store still holds {stat:?} and {found} calls"
            )));
        }
        let read = |name: &str| std::fs::read_to_string(folder.0.join(name));
        g = Gateway::restart(&folder.0, &read("operator.toml")?)?;
    }
}

fn now() -> u64 {
    crate::fakes::now_s() * 1_000_000
}

fn open(folder: &TempFolder) -> Result<(Disk, usize)> {
    let (disk, found) =
        Disk::open(&folder.0.join("store"), u64::MAX, now()).map_err(Error::other)?;
    Ok((disk, found.calls.len()))
}

/// Checks the accepted calls against the workers' runs, the portals' callbacks and the store.
fn check_accepted_calls(
    folder: &TempFolder,
    accepted: &BTreeSet<String>,
    workers: &[Worker],
    portals: &[Portal],
    round: &mut Round,
) -> Result<()> {
    let wrong = |what: String| Err(Error::other(what));
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for w in workers {
        let all = w.runs.lock().map_err(|_| Error::other("a worker failed"))?;
        for ((id, class), n) in all
            .iter()
            .filter(|((_, class), _)| class == NON_IDEMPOTENT_CLASS)
        {
            let n = runs.entry(id.clone()).and_modify(|m| *m += n).or_insert(*n);
            if *n > 1 {
                return wrong(format!("{class} {id} ran {n} times"));
            }
        }
    }
    let mut seen: BTreeMap<String, (u32, u32)> = BTreeMap::new();
    for s in portals.iter().flat_map(Portal::deliveries) {
        if !s.signed {
            return wrong(format!("{} came unsigned", s.id));
        }
        if s.outcome == "unknown" {
            round.unknown_calls += 1;
        }
        let count = seen.entry(s.call).or_default();
        *count = (count.0 + 1, count.1 + u32::from(s.confirmed));
    }
    let (mut disk, _) = open(folder)?;
    let mut answered = BTreeSet::new();
    for serial in tenants(folder)? {
        let filter = Filter {
            serial,
            limit: usize::MAX / 2,
            ..Filter::default()
        };
        let reply = disk
            .commit([Op::ListMessages(filter)], now())
            .map_err(Error::other)?
            .pop();
        let Some(Ok(Reply::Messages(all))) = reply else {
            return wrong("the store returned no list of messages".into());
        };
        for m in all {
            let call = m.call.clone().unwrap_or_default();
            let (deliveries, confirmed) = seen.get(&call).copied().unwrap_or_default();
            if !answered.insert(call.clone()) {
                return wrong(format!("{call} has two callbacks"));
            }
            let (effect, unsafe_one) = (
                m.waiting.effect,
                m.waiting.effect == molelug::api::Effect::NonIdempotent,
            );
            match m.state {
                MessageState::Delivered if confirmed == 0 => {
                    return wrong(format!("{call} was never confirmed"))
                }
                MessageState::Delivered => round.delivered += 1,
                MessageState::Dead(DeadLetterReason::Unknown)
                    if effect != molelug::api::Effect::Idempotent =>
                {
                    round.unknown_callbacks += 1
                }
                other => return wrong(format!("{call} is left {other:?}")),
            }
            if unsafe_one && deliveries > 1 {
                return wrong(format!("the callback of {call} came {deliveries} times"));
            }
        }
    }
    match accepted.iter().find(|id| !answered.contains(*id)) {
        Some(id) => wrong(format!("{id} was taken and has no callback")),
        None => Ok(()),
    }
}

/// Returns the tenants' serial numbers, as the gateway assigns them to an operator's file.
fn tenants(folder: &TempFolder) -> Result<Vec<u64>> {
    let operator =
        molelug::config::Operator::read(&folder.0.join("operator.toml")).map_err(Error::other)?;
    let registry = operator.registry(&[]).map_err(Error::other)?;
    Ok(registry.iter().map(|(_, t)| t.serial).collect())
}
