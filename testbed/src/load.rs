//! `load`: measures the webhook front under load, from the clients' side.

use std::collections::HashMap;
use std::io::{Error, Result};
use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use molelug::api::Effect;
use molelug::delivery::response::MessageState;
use molelug::delivery::{PendingMessage, Seq};
use molelug::store::disk::Disk;
use molelug::store::operations::Op;
use molelug::store::records::MessageRecord;
use serde_json::json;

use crate::fakes::gateway::{TempFolder, READ_CLASS};
use crate::fakes::{
    call_body, now_s, secret, secret_text, status, Caller, Gateway, Portal, PortalBehavior, Worker,
};

/// Creates a histogram of microseconds up to ten minutes.
fn histogram() -> Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, 600_000_000, 3).map_err(Error::other)
}

/// Returns a quantile of a histogram of microseconds in milliseconds.
fn quantile_ms(h: &Histogram<u64>, q: f64) -> f64 {
    h.value_at_quantile(q) as f64 / 1000.0
}

fn tenant(name: &str, address: impl std::fmt::Display) -> String {
    format!(
        "[[tenants]]\nname = \"{name}\"\nportal = \"http://{address}/in\"\nsecrets = [\"{}\"]\n",
        secret_text(1)
    )
}

fn workers(n: usize) -> Result<Vec<Worker>> {
    (0..n).map(|_| Worker::start(Duration::ZERO, 0)).collect()
}

/// Sends calls at a steady rate for many portals in turn, and measures the time from each 202 to
/// its callback.
pub fn webhooks(
    portals: usize,
    dead: usize,
    slow: usize,
    rate: u64,
    seconds: u64,
    to_file: Option<&Path>,
) -> Result<bool> {
    if dead + slow >= portals || rate == 0 {
        return Err(Error::other(
            "at least one portal must be healthy and the rate above 0",
        ));
    }
    let folder = TempFolder::new("load")?;
    let workers = workers(4)?;
    let mut operator =
        String::from("[webhooks]\nlisten = \"127.0.0.1:0\"\nstore = \"store\"\npending = 4096\n");
    let mut all = Vec::new();
    // Once these listeners are closed, their ports refuse connections.
    let closed: Vec<TcpListener> = (0..dead)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect::<Result<_>>()?;
    for n in 0..portals {
        if let Some(closed) = closed.get(n) {
            operator.push_str(&tenant(&format!("t{n}"), closed.local_addr()?));
            continue;
        }
        let manner = if n < dead + slow {
            PortalBehavior::Slow(2000)
        } else {
            PortalBehavior::Good
        };
        let portal = Portal::start(secret(1), manner)?;
        operator.push_str(&tenant(&format!("t{n}"), portal.address));
        all.push((n, portal));
    }
    drop(closed);
    let mut g = Gateway::start(&folder.0, &workers, &operator, 900.0)?;
    let to = g
        .webhooks
        .ok_or_else(|| Error::other("the gateway has no webhook listener"))?;
    let (mut caller, key) = (Caller::new(to), secret(1));
    let mut accepted: HashMap<String, Instant> = HashMap::new();
    let (started, mut refused) = (Instant::now(), 0);
    for n in 0..rate * seconds {
        let due = started + Duration::from_micros(n * 1_000_000 / rate);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let id = format!("c{n}");
        let name = format!("t{}", n as usize % portals);
        let answer = caller.call(&name, &key, &id, &call_body(READ_CLASS, n % 16, None))?;
        match status(&answer) {
            202 => {
                accepted.insert(id, Instant::now());
            }
            _ => refused += 1,
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    let mut others = histogram()?;
    let mut missing = 0;
    let mut callback_times: HashMap<String, Instant> = HashMap::new();
    for (_, portal) in all.iter().filter(|(n, _)| *n >= dead + slow) {
        callback_times.extend(portal.deliveries().into_iter().map(|s| (s.call, s.at)));
    }
    for (id, at) in &accepted {
        let n: usize = id[1..].parse().unwrap_or(0);
        if n % portals < dead + slow {
            continue;
        }
        match callback_times.get(id) {
            // A callback may arrive before the caller has read the 202.
            Some(seen) => others
                .saturating_record(seen.saturating_duration_since(*at).as_micros().max(1) as u64),
            None => missing += 1,
        }
    }
    let memory = g.memory_kib();
    let counters = g.stop()?;
    println!(
        "{portals} portals, {dead} dead, {slow} slow, {rate} calls/s for {seconds} s: {} taken, {refused} refused",
        accepted.len()
    );
    println!(
        "the others' callbacks: {} came, {missing} missing; p50 {:.2} ms, p99 {:.2} ms, max {:.2} ms; gateway {memory} KiB",
        others.len(),
        quantile_ms(&others, 0.5),
        quantile_ms(&others, 0.99),
        others.max() as f64 / 1000.0
    );
    if let Some(path) = to_file {
        let figures = json!({ "portals": portals, "dead": dead, "slow": slow, "rate": rate, "seconds": seconds,
            "taken": accepted.len(), "refused": refused, "others_missing": missing, "p50_ms": quantile_ms(&others, 0.5),
            "p99_ms": quantile_ms(&others, 0.99), "memory_kib": memory, "counters": counters });
        std::fs::write(path, figures.to_string())?;
    }
    Ok(missing == 0 && refused == 0)
}

/// Sends calls as fast as they are accepted, and measures the time to each 202.
pub fn accept(callers: usize, seconds: u64, before: Option<&Path>) -> Result<bool> {
    println!(
        "{:<34} {:>9} {:>9} {:>9} {:>9}",
        "way", "calls/s", "p50 ms", "p99 ms", "refused"
    );
    let store = "store = \"store\"\n";
    // A single caller never has two calls in one commit, so each call costs one sync.
    for (name, kept, at_once, program) in [
        ("store, many to one commit", store, callers, None),
        ("store, one sync for each call", store, 1, None),
        ("memory", "", callers, None),
        ("memory, the version before", "", callers, before),
    ] {
        if name.ends_with("before") && program.is_none() {
            continue;
        }
        let folder = TempFolder::new("accept")?;
        let workers = workers(4)?;
        let portal = Portal::start(secret(1), PortalBehavior::Good)?;
        let operator = format!(
            "[webhooks]\nlisten = \"127.0.0.1:0\"\npending = 20000\nreplay_entries = 4000000\n{kept}{}",
            tenant("t", portal.address)
        );
        let mut g = Gateway::start_program(program, &folder.0, &workers, &operator, 900.0)?;
        // Without a store the gateway refuses calls signed in its first second.
        std::thread::sleep(Duration::from_millis(1100));
        let to = g
            .webhooks
            .ok_or_else(|| Error::other("the gateway has no webhook listener"))?;
        let (stop, refused) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicU64::new(0)),
        );
        let threads: Vec<_> = (0..at_once)
            .map(|c| {
                let (stop, refused) = (stop.clone(), refused.clone());
                std::thread::spawn(move || -> Result<Histogram<u64>> {
                    let (mut caller, key, mut h) = (Caller::new(to), secret(1), histogram()?);
                    let mut n = 0u64;
                    while !stop.load(Ordering::Relaxed) {
                        let text = call_body(READ_CLASS, n % 16, None);
                        let started = Instant::now();
                        let answer = caller.call("t", &key, &format!("{c}-{n}"), &text)?;
                        n += 1;
                        if status(&answer) == 202 {
                            h.saturating_record(started.elapsed().as_micros().max(1) as u64);
                        } else {
                            refused.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                    Ok(h)
                })
            })
            .collect();
        std::thread::sleep(Duration::from_secs(seconds));
        stop.store(true, Ordering::Relaxed);
        let mut all = histogram()?;
        for t in threads {
            let h = t.join().map_err(|_| Error::other("a caller failed"))??;
            all.add(h).map_err(Error::other)?;
        }
        println!(
            "{name:<34} {:>9.0} {:>9.2} {:>9.2} {:>9}",
            all.len() as f64 / seconds as f64,
            quantile_ms(&all, 0.5),
            quantile_ms(&all, 0.99),
            refused.load(Ordering::Relaxed)
        );
        g.kill()?;
    }
    Ok(true)
}

/// Fills a store with messages for a portal that refuses connections, and measures memory use and
/// start time of a gateway on this store.
pub fn waiting(messages: u64) -> Result<bool> {
    let folder = TempFolder::new("waiting")?;
    let closed = TcpListener::bind("127.0.0.1:0")?;
    let operator = format!(
        "[webhooks]\nlisten = \"127.0.0.1:0\"\nstore = \"store\"\n{}",
        tenant("t", closed.local_addr()?)
    );
    drop(closed);
    let workers = workers(1)?;
    let mut g = Gateway::start(&folder.0, &workers, &operator, 900.0)?;
    std::thread::sleep(Duration::from_secs(1));
    let empty = g.memory_kib();
    g.kill()?;
    drop(g);
    let read =
        molelug::config::Operator::read(&folder.0.join("operator.toml")).map_err(Error::other)?;
    let registry = read.registry(&[]).map_err(Error::other)?;
    let t = registry
        .get("t")
        .ok_or_else(|| Error::other("the operator's file has no tenant"))?;
    let e = t
        .endpoints
        .values()
        .next()
        .ok_or_else(|| Error::other("the tenant has no endpoint"))?;
    let now = now_s() * 1_000_000;
    let (mut disk, _) = Disk::open(&folder.0.join("store"), u64::MAX, now).map_err(Error::other)?;
    let text = vec![b'x'; 300];
    for from in (1..=messages).step_by(1000) {
        let batch = (from..(from + 1000).min(messages + 1)).map(|n| {
            let waiting = PendingMessage {
                seq: Seq(n),
                endpoint: e.id,
                due: now + n,
                effect: Effect::Idempotent,
                maybe_received_at: None,
                tries: 0,
                size: 300,
            };
            let record = MessageRecord {
                waiting,
                state: MessageState::Waiting,
                tenant: "t".into(),
                serial: t.serial,
                id: format!("msg_{n}"),
                kind: "call.completed".into(),
                call: Some(format!("c{n}")),
                created: now,
                order: None,
                acknowledged: None,
            };
            (record, text.clone())
        });
        disk.commit([Op::Publish(batch.collect())], now)
            .map_err(Error::other)?;
    }
    drop(disk);
    let started = Instant::now();
    let mut g = Gateway::restart(&folder.0, &operator)?;
    let start = started.elapsed();
    std::thread::sleep(Duration::from_secs(5));
    let full = g.memory_kib();
    g.kill()?;
    let started = Instant::now();
    let mut g = Gateway::restart(&folder.0, &operator)?;
    let again = started.elapsed();
    g.kill()?;
    println!(
        "{messages} messages wait: memory {full} KiB, with none {empty} KiB, {} KiB more",
        full.saturating_sub(empty)
    );
    println!(
        "ready after {:.0} ms, and after a kill at work {:.0} ms",
        start.as_secs_f64() * 1e3,
        again.as_secs_f64() * 1e3
    );
    Ok(full.saturating_sub(empty) < 64 << 10 && again < Duration::from_secs(2))
}
