//! `bench rate`: what a call costs the gateway's processor at a high rate, with more held than leaves, and what comes of
//! it where the gateway has a part of a core only.

use std::io::{Error, Result};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::fakes::gateway::{Folder, SAFE};
use crate::fakes::{status, Caller, Gateway, Worker};

/// How the load is made.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Callers, each with one call at a time.
    pub callers: u64,
    /// Calls a second from all of them at most.
    pub rate: u64,
    /// How long.
    pub seconds: u64,
    /// The gateway's part of a core; 1 for all of it.
    pub cores: f64,
}

/// Calls of functions that stand at four workers, which together bear about 900 runs a second.
const WORKERS: usize = 4;
const RUN: Duration = Duration::from_micros(4_400);
const FUNCTIONS: u64 = 200;
/// A call's time in all, in milliseconds.
const DEADLINE_MS: u64 = 900;
/// A gateway that has used its part of so long a window is stopped until the window ends.
const WINDOW: Duration = Duration::from_millis(100);

/// What one program made of the load.
#[derive(Debug)]
struct Borne {
    answers: Histogram<u64>,
    served: u64,
    other: u64,
    processor: Duration,
    most: Duration,
    stopped: u32,
}

/// Has each program bear the load, the caller's after this one, and prints what a call cost.
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
        let r = one(load, program)?;
        let calls = r.served + r.other;
        all_answered &= calls > 0;
        println!(
            "{name:<12} {:>8.0} {:>7.1}% {:>9.1} {:>9.1} {:>9.1} {:>10.2} {:>8}",
            calls as f64 / load.seconds as f64,
            100.0 * r.served as f64 / calls.max(1) as f64,
            r.answers.value_at_quantile(0.5) as f64 / 1000.0,
            r.answers.value_at_quantile(0.99) as f64 / 1000.0,
            r.processor.as_secs_f64() * 1e6 / calls.max(1) as f64,
            r.most.as_secs_f64(),
            r.stopped,
        );
    }
    Ok(all_answered)
}

fn ask(id: u64) -> Vec<u8> {
    let function = id % FUNCTIONS;
    format!(
        "POST /call/{function:016x}/trigger HTTP/1.1\r\nHost: lab\r\nX-Class: {SAFE}\r\nX-Org: franq-bajio\r\n\
         X-Correlation-Id: {id:016x}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\nX-Extras: lanes:2\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

fn one(load: Load, program: Option<&Path>) -> Result<Borne> {
    let folder = Folder::new("rate")?;
    let workers: Vec<Worker> = (0..WORKERS)
        .map(|_| Worker::start(RUN, 0))
        .collect::<Result<_>>()?;
    let g = Gateway::with(program, &folder.0, &workers, "", DEADLINE_MS as f64)?;
    let (to, begun) = (g.platform, Instant::now());
    let end = begun + Duration::from_secs(load.seconds);
    let (served, other) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let every = Duration::from_secs_f64(load.callers as f64 / load.rate.max(1) as f64);
    let callers: Vec<_> = (0..load.callers)
        .map(|c| {
            let (served, other) = (served.clone(), other.clone());
            std::thread::spawn(move || -> Result<Histogram<u64>> {
                let mut answers =
                    Histogram::new_with_bounds(1, 60_000_000, 3).map_err(Error::other)?;
                let mut caller = Caller::new(to);
                // Spread over the first turn, so that the callers do not come at once.
                let mut due = begun + every.mul_f64(c as f64 / load.callers as f64);
                for n in 0.. {
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    let sent = Instant::now();
                    if sent >= end {
                        break;
                    }
                    let answer = caller.exchange(&ask(n * load.callers + c))?;
                    let count = if status(&answer) == 200 {
                        &served
                    } else {
                        &other
                    };
                    count.fetch_add(1, Ordering::Relaxed);
                    answers.saturating_record(sent.elapsed().as_micros().max(1) as u64);
                    due = (due + every).max(sent);
                }
                Ok(answers)
            })
        })
        .collect();
    let (over, used) = (Arc::new(AtomicBool::new(false)), g.processor()?);
    let governor = {
        let (over, pid, cores) = (over.clone(), g.pid(), load.cores);
        std::thread::spawn(move || govern(pid, cores, &over))
    };
    let mut answers = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(Error::other)?;
    for caller in callers {
        let h = caller
            .join()
            .map_err(|_| Error::other("a caller failed"))??;
        answers.add(h).map_err(Error::other)?;
    }
    over.store(true, Ordering::Relaxed);
    let (most, stopped) = governor
        .join()
        .map_err(|_| Error::other("the governor failed"))??;
    let processor = g.processor()?.saturating_sub(used);
    let count = |c: &AtomicU64| c.load(Ordering::Relaxed);
    Ok(Borne {
        answers,
        served: count(&served),
        other: count(&other),
        processor,
        most,
        stopped,
    })
}

/// Stops a process once it has used its part of a window, and lets it go on with the next one. Returns the most that it
/// used within a second, and how often it was stopped.
fn govern(pid: rustix::process::Pid, cores: f64, over: &AtomicBool) -> Result<(Duration, u32)> {
    use rustix::process::{kill_process, Signal};
    let (part, first) = (WINDOW.mul_f64(cores), processor_of(pid)?);
    let (mut most, mut stopped, mut seconds) = (Duration::ZERO, 0, vec![first]);
    while !over.load(Ordering::Relaxed) {
        let (begun, used) = (Instant::now(), processor_of(pid)?);
        let mut runs = true;
        while begun.elapsed() < WINDOW {
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

/// Processor time that a process has used.
pub fn processor_of(pid: rustix::process::Pid) -> Result<Duration> {
    // The first figure is the time on a processor in nanoseconds, of the first thread: the gateway has one.
    let text = std::fs::read_to_string(format!("/proc/{}/schedstat", pid.as_raw_nonzero()))?;
    let ns = text.split_whitespace().next().and_then(|n| n.parse().ok());
    ns.map(Duration::from_nanos)
        .ok_or_else(|| Error::other("no schedstat"))
}
