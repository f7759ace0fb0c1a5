//! `bench rate`: measures the processor time per call at a high rate, with more calls than the
//! workers can run, and the effect when the gateway has only a fraction of a core.

use std::io::{Error, Result};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::fakes::gateway::{TempFolder, READ_CLASS};
use crate::fakes::{status, Caller, Gateway, Worker};

/// Parameters of the load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Number of callers, each with one call at a time.
    pub callers: u64,
    /// Maximum total rate of calls per second.
    pub rate: u64,
    /// Duration in seconds.
    pub seconds: u64,
    /// Fraction of a core that the gateway may use; 1 for no limit.
    pub cores: f64,
}

/// Number of workers; together they can run about 900 calls per second.
const WORKERS: usize = 4;
const RUN_TIME: Duration = Duration::from_micros(4_400);
const FUNCTIONS: u64 = 200;
/// Deadline of a call in milliseconds.
const DEADLINE_MS: u64 = 900;
/// Window of the processor limit: a gateway that has used its fraction is stopped until the window
/// ends.
const WINDOW: Duration = Duration::from_millis(100);

/// Result of the load on one program.
#[derive(Debug)]
struct Measurement {
    latency_us: Histogram<u64>,
    served: u64,
    other: u64,
    processor: Duration,
    most: Duration,
    stopped: u32,
}

/// Runs the load against this program, then against `before` if given, and prints the processor
/// time per call of each.
pub fn run(load: Load, before: Option<&Path>) -> Result<bool> {
    println!(
        "{} callers, at most {} calls a second, {} s, {} of a core",
        load.callers, load.rate, load.seconds, load.cores
    );
    println!(
        "{:<12} {:>8} {:>8} {:>9} {:>9} {:>9} {:>10} {:>8}",
        "program", "calls/s", "served", "p50 ms", "p99 ms", "us/call", "worst s", "stopped"
    );
    let mut all_answered = true;
    for (name, program) in [("now", None), ("before", before)] {
        if name == "before" && program.is_none() {
            continue;
        }
        let r = measure(load, program)?;
        let calls = r.served + r.other;
        all_answered &= calls > 0;
        println!(
            "{name:<12} {:>8.0} {:>7.1}% {:>9.1} {:>9.1} {:>9.1} {:>10.2} {:>8}",
            calls as f64 / load.seconds as f64,
            100.0 * r.served as f64 / calls.max(1) as f64,
            r.latency_us.value_at_quantile(0.5) as f64 / 1000.0,
            r.latency_us.value_at_quantile(0.99) as f64 / 1000.0,
            r.processor.as_secs_f64() * 1e6 / calls.max(1) as f64,
            r.most.as_secs_f64(),
            r.stopped,
        );
    }
    Ok(all_answered)
}

fn call_request(id: u64) -> Vec<u8> {
    let function = id % FUNCTIONS;
    format!(
        "POST /call/{function:016x}/trigger HTTP/1.1\r\nHost: lab\r\nX-Class: {READ_CLASS}\r\nX-Org: franq-bajio\r\n\
         X-Correlation-Id: {id:016x}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\nX-Extras: lanes:2\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

fn measure(load: Load, program: Option<&Path>) -> Result<Measurement> {
    let folder = TempFolder::new("rate")?;
    let workers: Vec<Worker> = (0..WORKERS)
        .map(|_| Worker::start(RUN_TIME, 0))
        .collect::<Result<_>>()?;
    let g = Gateway::start_program(program, &folder.0, &workers, "", DEADLINE_MS as f64)?;
    let (to, started) = (g.platform, Instant::now());
    let end = started + Duration::from_secs(load.seconds);
    let (served, other) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let every = Duration::from_secs_f64(load.callers as f64 / load.rate.max(1) as f64);
    let callers: Vec<_> = (0..load.callers)
        .map(|c| {
            let (served, other) = (served.clone(), other.clone());
            std::thread::spawn(move || -> Result<Histogram<u64>> {
                let mut latency_us =
                    Histogram::new_with_bounds(1, 60_000_000, 3).map_err(Error::other)?;
                let mut caller = Caller::new(to);
                // Spreads the first calls over one interval, so that the callers do not start at
                // once.
                let mut due = started + every.mul_f64(c as f64 / load.callers as f64);
                for n in 0.. {
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    let sent = Instant::now();
                    if sent >= end {
                        break;
                    }
                    let answer = caller.exchange(&call_request(n * load.callers + c))?;
                    let count = if status(&answer) == 200 {
                        &served
                    } else {
                        &other
                    };
                    count.fetch_add(1, Ordering::Relaxed);
                    latency_us.saturating_record(sent.elapsed().as_micros().max(1) as u64);
                    due = (due + every).max(sent);
                }
                Ok(latency_us)
            })
        })
        .collect();
    let (over, used) = (Arc::new(AtomicBool::new(false)), g.cpu_time()?);
    let limiter = {
        let (over, pid, cores) = (over.clone(), g.pid(), load.cores);
        std::thread::spawn(move || limit_processor(pid, cores, &over))
    };
    let mut latency_us = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(Error::other)?;
    for caller in callers {
        let h = caller
            .join()
            .map_err(|_| Error::other("a caller failed"))??;
        latency_us.add(h).map_err(Error::other)?;
    }
    over.store(true, Ordering::Relaxed);
    let (most, stopped) = limiter
        .join()
        .map_err(|_| Error::other("the processor limiter failed"))??;
    let processor = g.cpu_time()?.saturating_sub(used);
    let count = |c: &AtomicU64| c.load(Ordering::Relaxed);
    Ok(Measurement {
        latency_us,
        served: count(&served),
        other: count(&other),
        processor,
        most,
        stopped,
    })
}

/// Limits a process to a fraction of a core: stops it once it has used its share of a window, and
/// continues it with the next window. Returns the highest processor time within one second and the
/// number of stops.
fn limit_processor(
    pid: rustix::process::Pid,
    cores: f64,
    over: &AtomicBool,
) -> Result<(Duration, u32)> {
    use rustix::process::{kill_process, Signal};
    let (part, first) = (WINDOW.mul_f64(cores), processor_of(pid)?);
    let (mut most, mut stopped, mut seconds) = (Duration::ZERO, 0, vec![first]);
    while !over.load(Ordering::Relaxed) {
        let (started, used) = (Instant::now(), processor_of(pid)?);
        let mut runs = true;
        while started.elapsed() < WINDOW {
            if runs && cores < 1.0 && processor_of(pid)?.saturating_sub(used) >= part {
                kill_process(pid, Signal::STOP)?;
                (runs, stopped) = (false, stopped + 1);
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        if !runs {
            kill_process(pid, Signal::CONT)?;
        }
        seconds.push(processor_of(pid)?);
        let since = seconds[seconds.len().saturating_sub(11)];
        most = most.max(seconds[seconds.len() - 1].saturating_sub(since));
    }
    Ok((most, stopped))
}

/// Returns the processor time that a process has used.
pub fn processor_of(pid: rustix::process::Pid) -> Result<Duration> {
    // The first field is the processor time of the main thread in nanoseconds; the gateway has no
    // other thread.
    let text = std::fs::read_to_string(format!("/proc/{}/schedstat", pid.as_raw_nonzero()))?;
    let ns = text.split_whitespace().next().and_then(|n| n.parse().ok());
    ns.map(Duration::from_nanos)
        .ok_or_else(|| Error::other("schedstat has no processor time"))
}
