//! Runs one scenario with real gateway processes.

use std::io::{Error, Result};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::clients::{Call, Client, CLIENTS};
use super::judge::{DrainRecord, Records, Usage, Verdict, DRAIN_GRACE};
use super::neighbours::{core_of, pin, BusyNeighbours};
use super::scenario::{Kill, NewNames, Scenario, UpdateKind};
use super::worker_groups::{WorkerGroups, GROUPS};
use crate::fakes::gateway::{settings, TempFolder};
use crate::fakes::Gateway;
use crate::outage::{Discovery, OutageKind};

/// Shortest time from SIGTERM to SIGKILL that the platform allows, on top of the longest deadline.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// Number of the first client of a crowd, above those of all other clients.
const CROWD_NUMBER: u64 = 100;
/// Limit on a gateway's open sockets.
const MAX_SOCKETS: usize = 2_048;

/// A scheduled action.
#[derive(Clone, Copy, Debug)]
enum Step {
    Drain(usize),
    End(usize),
    Replace(usize, NewNames),
    Terminate,
    Kill,
    Restart,
    Suspend,
    Resume,
    Discovery(OutageKind),
    Crowd,
}

struct TestRun {
    scenario: Scenario,
    discovery: Discovery,
    workers: WorkerGroups,
    folders: Vec<TempFolder>,
    addresses: Vec<SocketAddr>,
    gateways: Vec<Gateway>,
    neighbours: Vec<BusyNeighbours>,
    started_at: Instant,
    over: Arc<AtomicBool>,
    clients: Vec<JoinHandle<Vec<Call>>>,
    drained: Vec<(usize, Instant)>,
    ended: Vec<(usize, Instant)>,
    killed: Option<(Instant, Instant)>,
    suspended_at: Option<Instant>,
    suspended: Vec<(Instant, Instant)>,
}

/// Runs a scenario and returns its verdict.
///
/// # Errors
///
/// A process or fake cannot be started, or a gateway has exited by itself.
pub fn play(scenario: &Scenario) -> Result<Verdict> {
    let mut run = TestRun::set_up(scenario)?;
    run.start_clients();
    for (at, step) in steps(scenario) {
        std::thread::sleep((run.started_at + at).saturating_duration_since(Instant::now()));
        run.perform(step)?;
    }
    let ends_at = run.started_at + scenario.ends_at;
    std::thread::sleep(ends_at.saturating_duration_since(Instant::now()));
    run.finish()
}

/// Returns the actions of a scenario in order of time.
fn steps(scenario: &Scenario) -> Vec<(Duration, Step)> {
    let mut steps = Vec::new();
    if let Some(release) = scenario.release {
        for group in 0..GROUPS / 2 {
            let at = release.at + release.step * group as u32;
            let ends_at = at + release.drain;
            steps.extend([
                (at, Step::Drain(group)),
                (ends_at, Step::End(group)),
                (
                    ends_at + release.replacement,
                    Step::Replace(group, release.names),
                ),
            ]);
        }
    }
    if let Some((at, kind, pause)) = scenario.kill {
        let kill_at = match kind {
            Kill::AtOnce => at,
            Kill::AfterSignals => {
                steps.extend((0..3).map(|n| (at + n * KILL_AFTER / 4, Step::Terminate)));
                at + KILL_AFTER + scenario.deadline
            }
        };
        steps.extend([(kill_at, Step::Kill), (kill_at + pause, Step::Restart)]);
    }
    if let Some((from, until)) = scenario.outage {
        steps.push((from, Step::Discovery(OutageKind::Refused)));
        steps.push((until, Step::Discovery(OutageKind::None)));
    }
    for stop in &scenario.stops {
        steps.push((stop.at, Step::Suspend));
        steps.push((stop.at + stop.duration, Step::Resume));
    }
    steps.extend(scenario.crowd_at.map(|at| (at, Step::Crowd)));
    steps.sort_by_key(|(at, _)| *at);
    steps
}

/// Returns an address that was free just now, which a gateway keeps over a restart.
fn free_address() -> Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl TestRun {
    fn set_up(scenario: &Scenario) -> Result<TestRun> {
        let mut run = TestRun {
            scenario: scenario.clone(),
            discovery: Discovery::start()?,
            workers: WorkerGroups::start(scenario)?,
            folders: Vec::new(),
            addresses: Vec::new(),
            gateways: Vec::new(),
            neighbours: Vec::new(),
            started_at: Instant::now(),
            over: Arc::new(AtomicBool::new(false)),
            clients: Vec::new(),
            drained: Vec::new(),
            ended: Vec::new(),
            killed: None,
            suspended_at: None,
            suspended: Vec::new(),
        };
        for number in 0..scenario.gateways {
            let folder = TempFolder::new("large-fleet")?;
            let address = free_address()?;
            let config = run.config(number, address).to_string();
            std::fs::write(folder.0.join("config.json"), config)?;
            std::fs::write(folder.0.join("operator.toml"), "")?;
            run.folders.push(folder);
            run.addresses.push(address);
            let mut gateway = run.start_gateway(number)?;
            gateway.wait_for_log_line("listens on ")?;
            run.gateways.push(gateway);
        }
        if scenario.busy_neighbours > 0 {
            run.neighbours = (0..scenario.gateways)
                .map(|number| BusyNeighbours::start(core_of(number), scenario.busy_neighbours))
                .collect();
        }
        run.started_at = Instant::now();
        Ok(run)
    }

    fn start_gateway(&self, number: usize) -> Result<Gateway> {
        let core = (self.scenario.busy_neighbours > 0).then(|| core_of(number));
        let gateway = Gateway::spawn_unready(&self.folders[number].0)?;
        if let Some(core) = core {
            pin(Some(gateway.pid()), core)?;
        }
        Ok(gateway)
    }

    fn config(&self, number: usize, address: SocketAddr) -> Value {
        let scenario = &self.scenario;
        let mut settings = settings(scenario.deadline.as_millis() as f64);
        settings["groupSize"] = json!(scenario.gateways);
        settings["me"] = json!(number);
        settings["obligations"]["drainGraceMs"] = json!(DRAIN_GRACE.as_millis() as f64);
        let known = json!({ "rev": 1, "notices": [
            { "rev": 1, "pool": { "index": 1, "snapshot": true, "endpoints": self.workers.list() } } ] });
        json!({ "name": format!("n{number}"), "listen": address.to_string(),
            "seed": format!("{:016x}", scenario.seed.wrapping_mul(0x9e37_79b9) + number as u64),
            "known": known, "board": self.discovery.address.to_string(),
            "limits": { "cores": 1.0, "memory_mb": 192, "sockets": MAX_SOCKETS }, "settings": settings })
    }

    fn client(&self, gateway: usize, number: u64) -> Client {
        Client {
            gateway,
            address: self.addresses[gateway],
            number,
            scenario: self.scenario.clone(),
            started_at: self.started_at,
            over: self.over.clone(),
        }
    }

    fn start_clients(&mut self) {
        for gateway in 0..self.scenario.gateways {
            for number in 0..CLIENTS {
                let client = self.client(gateway, number);
                self.clients.push(std::thread::spawn(move || client.run()));
            }
        }
    }

    fn publish(&self, changed: &[Value]) {
        match self.scenario.updates {
            UpdateKind::Deltas => self.discovery.publish(changed),
            UpdateKind::Snapshots => self.discovery.publish_snapshot(&self.workers.list()),
        }
    }

    fn perform(&mut self, step: Step) -> Result<()> {
        match step {
            Step::Drain(group) => {
                let changed = self.workers.drain(group);
                self.publish(&changed);
                self.drained.push((group, Instant::now()));
            }
            Step::End(group) => {
                let changed = self.workers.end(group);
                self.ended.push((group, Instant::now()));
                self.publish(&changed);
            }
            Step::Replace(group, names) => {
                let changed = self.workers.replace(group, names)?;
                self.publish(&changed);
            }
            Step::Terminate => {
                if !self.gateways[0].has_exited()? {
                    self.gateways[0].terminate()?;
                }
            }
            Step::Kill => {
                let from = Instant::now();
                if !self.gateways[0].has_exited()? {
                    self.gateways[0].kill()?;
                }
                self.killed = Some((from, Instant::now()));
            }
            Step::Restart => self.gateways[0] = self.start_gateway(0)?,
            // A gateway between its kill and its restart cannot be suspended.
            Step::Suspend if self.gateways[0].has_exited()? => {}
            Step::Resume if self.gateways[0].has_exited()? => {}
            Step::Suspend => {
                self.gateways[0].suspend()?;
                self.suspended_at = Some(Instant::now());
            }
            Step::Resume => {
                self.gateways[0].resume()?;
                let since = self.suspended_at.take();
                self.suspended
                    .extend(since.map(|since| (since, Instant::now())));
            }
            Step::Discovery(kind) => self.discovery.set(kind),
            Step::Crowd => {
                let client = self.client(0, CROWD_NUMBER);
                self.clients
                    .push(std::thread::spawn(move || client.crowd()));
            }
        }
        Ok(())
    }

    /// Stops everything and judges the records; fails if a gateway has already exited.
    fn finish(mut self) -> Result<Verdict> {
        self.over.store(true, Ordering::Relaxed);
        let mut calls = Vec::new();
        for client in std::mem::take(&mut self.clients) {
            let records = client
                .join()
                .map_err(|_| Error::other("the thread of a client panicked"))?;
            calls.extend(records);
        }
        self.neighbours.clear();
        for gateway in &mut self.gateways {
            if gateway.has_exited()? {
                return Err(Error::other("a gateway exited early"));
            }
        }
        let usage = self.usage()?;
        let drains: Vec<DrainRecord> = self
            .drained
            .iter()
            .map(|(group, published_at)| DrainRecord {
                published_at: *published_at,
                ended_at: self.ended_at(*group),
                received: self.workers.received(*group),
            })
            .collect();
        for gateway in &mut self.gateways {
            gateway.kill()?;
        }
        self.discovery.stop();
        self.workers.stop();
        let records = Records {
            started_at: self.started_at,
            calls,
            drains,
            killed: self.killed,
            suspended: self.suspended,
        };
        Ok(Verdict::of(&self.scenario, &records, usage))
    }

    fn ended_at(&self, group: usize) -> Instant {
        let ended = self.ended.iter().find(|(ended, _)| *ended == group);
        ended.map_or_else(Instant::now, |(_, at)| *at)
    }

    /// Measures the last gateway, which is neither killed nor suspended.
    fn usage(&mut self) -> Result<Usage> {
        let Some(gateway) = self.gateways.last_mut() else {
            return Ok(Usage::default());
        };
        let counters = gateway.counters()?;
        let loop_figures = gateway.loop_figures()?;
        let longest_us = loop_figures["passes"]["max_us"].as_u64();
        let files = format!("/proc/{}/fd", gateway.pid().as_raw_nonzero());
        Ok(Usage {
            cpu: gateway.cpu_time()?,
            memory_kib: gateway.memory_kib(),
            descriptors: std::fs::read_dir(files)?.count(),
            connects: counters["connects"].as_u64().unwrap_or(0),
            longest_pass: Duration::from_micros(longest_us.unwrap_or(0)),
            loop_figures,
        })
    }
}
