//! Runs one scenario with real gateway processes.

use std::io::{Error, Result};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::clients::{Addresses, Call, Client, CALLERS};
use super::discovery::Discovery;
use super::judge::{Verdict, WorkerRecord};
use super::scenario::{OutageKind, Restarts, Scenario};
use super::worker::{DrainableWorker, ProcessState};
use crate::fakes::gateway::{settings, TempFolder};
use crate::fakes::Gateway;

/// Shortest time from SIGTERM to SIGKILL that the platform allows, on top of the longest deadline.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// Time from the start of the outage to the restart of the first gateway.
const RESTART_AFTER: Duration = Duration::from_millis(4_000);
/// Time between the kill and the restart of a gateway.
const RESTART_TIME: Duration = Duration::from_millis(1_000);
/// Time before the first call, in which the gateways become ready.
const SETTLE_TIME: Duration = Duration::from_millis(400);

/// A scheduled action of a run.
#[derive(Clone, Copy, Debug)]
enum Step {
    Discovery(OutageKind),
    Worker(usize, ProcessState),
    /// Discovery publishes this status of a worker.
    Publish(usize, &'static str),
    Terminate,
    Kill,
    Restart,
}

/// Processes and fakes of a run.
struct TestRun {
    scenario: Scenario,
    discovery: Discovery,
    workers: Vec<DrainableWorker>,
    folders: Vec<TempFolder>,
    gateways: Vec<Gateway>,
    addresses: Addresses,
}

/// Runs a scenario and returns its verdict.
///
/// # Errors
///
/// A process or fake cannot be started, or a gateway has exited by itself.
pub fn play(scenario: &Scenario) -> Result<Verdict> {
    let mut test_run = TestRun::set_up(scenario)?;
    std::thread::sleep(SETTLE_TIME);
    let started_at = Instant::now();
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = test_run.clients(started_at, &over);
    for (at, step) in steps(scenario) {
        std::thread::sleep((started_at + at).saturating_duration_since(Instant::now()));
        test_run.perform(step)?;
    }
    std::thread::sleep((started_at + scenario.ends_at).saturating_duration_since(Instant::now()));
    over.store(true, Ordering::Relaxed);
    let mut calls: Vec<Call> = Vec::new();
    for client in clients {
        calls.extend(
            client
                .join()
                .map_err(|_| Error::other("the thread of a client panicked"))?,
        );
    }
    test_run.finish()?;
    let records: Vec<WorkerRecord> = test_run
        .workers
        .iter()
        .enumerate()
        .map(|(worker, fake)| WorkerRecord {
            worker,
            received: fake.received(),
        })
        .collect();
    Ok(Verdict::of(scenario, started_at, &records, &calls))
}

/// Returns the actions of a scenario in order of time.
fn steps(scenario: &Scenario) -> Vec<(Duration, Step)> {
    let mut steps = vec![
        (scenario.outage_at, Step::Discovery(scenario.kind)),
        (scenario.outage_ends_at, Step::Discovery(OutageKind::None)),
    ];
    for drain in &scenario.drains {
        let worker = drain.worker;
        steps.extend([
            (drain.at, Step::Worker(worker, ProcessState::Draining)),
            (drain.at + scenario.lag, Step::Publish(worker, "DRAINING")),
            (drain.ends_at, Step::Worker(worker, ProcessState::Ended)),
            (
                drain.ends_at + scenario.lag,
                Step::Publish(worker, "DELETED"),
            ),
            (
                drain.returns_at,
                Step::Worker(worker, ProcessState::Serving),
            ),
            (
                drain.returns_at + scenario.lag,
                Step::Publish(worker, "SERVING"),
            ),
        ]);
    }
    let restart_at = scenario.outage_at + RESTART_AFTER;
    let kill_at = match scenario.restarts {
        Restarts::None => None,
        Restarts::Kill => Some(restart_at),
        Restarts::Terminate => {
            // The time to the kill counts from the first of several signals.
            steps.extend((0..3).map(|n| (restart_at + n * KILL_AFTER / 4, Step::Terminate)));
            Some(restart_at + KILL_AFTER + scenario.deadline)
        }
    };
    if let Some(at) = kill_at {
        steps.extend([(at, Step::Kill), (at + RESTART_TIME, Step::Restart)]);
    }
    steps.retain(|(at, _)| *at < scenario.ends_at);
    steps.sort_by_key(|(at, _)| *at);
    steps
}

fn endpoint(worker: &DrainableWorker, status: &str, since_ms: u64) -> Value {
    json!({ "name": worker.name, "address": worker.address.to_string(), "zone": "north", "type": "std",
            "group": 0, "status": status, "weight": 4, "since_ms": since_ms })
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

impl TestRun {
    fn set_up(scenario: &Scenario) -> Result<TestRun> {
        let discovery = Discovery::start()?;
        let workers: Vec<DrainableWorker> = (0..scenario.workers)
            .map(|n| DrainableWorker::start(format!("s-{n:08x}")))
            .collect::<Result<_>>()?;
        let mut test_run = TestRun {
            scenario: scenario.clone(),
            discovery,
            workers,
            folders: Vec::new(),
            gateways: Vec::new(),
            addresses: Addresses::new(Mutex::new(Vec::new())),
        };
        for number in 0..scenario.gateways {
            let folder = TempFolder::new("outage")?;
            std::fs::write(
                folder.0.join("config.json"),
                test_run.config(number).to_string(),
            )?;
            std::fs::write(folder.0.join("operator.toml"), "")?;
            let gateway = Gateway::restart(&folder.0, "")?;
            test_run.lock_addresses().push(gateway.platform);
            test_run.folders.push(folder);
            test_run.gateways.push(gateway);
        }
        Ok(test_run)
    }

    fn config(&self, number: usize) -> Value {
        let scenario = &self.scenario;
        let mut settings = settings(scenario.deadline.as_millis() as f64);
        settings["groupSize"] = json!(scenario.gateways);
        settings["me"] = json!(number);
        settings["caps"]["probes"] = json!(scenario.health_checks);
        settings["obligations"]["drainGraceMs"] = json!(scenario.grace.as_millis() as f64);
        if scenario.load_rate_limit {
            settings["familyInfo"]["loadWindowMs"] = json!(10_000.0);
            settings["familyInfo"]["loadsAnyway"] = json!(3.0);
            settings["familyInfo"]["loadRatio"] = json!(0.3);
        }
        let endpoints: Vec<Value> = self
            .workers
            .iter()
            .map(|worker| endpoint(worker, "SERVING", 0))
            .collect();
        let known = json!({ "rev": 1, "notices": [
            { "rev": 1, "pool": { "index": 1, "snapshot": true, "endpoints": endpoints } } ] });
        json!({ "name": format!("n{number}"), "listen": "127.0.0.1:0",
            "seed": format!("{:016x}", scenario.seed.wrapping_mul(0x9e37_79b9) + number as u64),
            "known": known, "board": self.discovery.address.to_string(),
            "limits": { "cores": 1.0, "memory_mb": 192, "sockets": 1024 }, "settings": settings })
    }

    fn clients(
        &self,
        started_at: Instant,
        over: &Arc<AtomicBool>,
    ) -> Vec<std::thread::JoinHandle<Vec<Call>>> {
        (0..self.scenario.gateways)
            .flat_map(|gateway| (0..CALLERS).map(move |number| (gateway, number)))
            .map(|(gateway, number)| {
                let client = Client {
                    gateway,
                    number,
                    scenario: self.scenario.clone(),
                    addresses: self.addresses.clone(),
                    started_at,
                    over: over.clone(),
                };
                std::thread::spawn(move || client.run())
            })
            .collect()
    }

    fn perform(&mut self, step: Step) -> Result<()> {
        match step {
            Step::Discovery(kind) => self.discovery.set(kind),
            Step::Worker(worker, state) => self.workers[worker].set(state),
            Step::Publish(worker, status) => {
                let since_ms = if status == "SERVING" { unix_ms() } else { 0 };
                let entry = endpoint(&self.workers[worker], status, since_ms);
                self.discovery.publish(&[entry]);
            }
            Step::Terminate => {
                // The gateway may have exited cleanly since the first signal.
                if !self.gateways[0].has_exited()? {
                    self.gateways[0].terminate()?;
                }
            }
            Step::Kill => {
                if !self.gateways[0].has_exited()? {
                    self.gateways[0].kill()?;
                }
            }
            Step::Restart => {
                self.gateways[0] = Gateway::restart(&self.folders[0].0, "")?;
                self.lock_addresses()[0] = self.gateways[0].platform;
            }
        }
        Ok(())
    }

    /// Stops all processes and fakes; fails if a gateway has already exited.
    fn finish(&mut self) -> Result<()> {
        for gateway in &mut self.gateways {
            if gateway.has_exited()? {
                let log = gateway.log.join(" | ");
                return Err(Error::other(format!("a gateway exited early: {log}")));
            }
            gateway.kill()?;
        }
        self.discovery.stop();
        for worker in &self.workers {
            worker.stop();
        }
        Ok(())
    }

    fn lock_addresses(&self) -> std::sync::MutexGuard<'_, Vec<std::net::SocketAddr>> {
        self.addresses
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
