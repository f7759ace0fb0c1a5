//! Runs one scenario with a real gateway process.

use std::io::{Error, Result};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::json;

use super::crowd::RudeClient;
use super::judge::{ProcessMemory, Restart, Verdict};
use super::records::Records;
use super::scenario::{Scenario, DEADLINE, DURATION};
use super::usual::{self, USUAL_CLIENTS};
use super::worker::RecordingWorker;
use crate::fakes::gateway::{settings, TempFolder};
use crate::fakes::Gateway;
use crate::large_fleet::neighbours::{core_of, pin, BusyNeighbours};

/// Number of workers.
const WORKERS: usize = 3;
/// Shortest time from SIGTERM to SIGKILL that the platform allows, on top of the longest deadline.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// Signals in series before the kill.
const SIGNALS: u32 = 3;
/// The pause between the kill and the next start.
const RESTART_PAUSE: Duration = Duration::from_millis(300);

struct TestRun {
    scenario: Scenario,
    records: Arc<Records>,
    folder: TempFolder,
    address: SocketAddr,
    core: usize,
    gateway: Gateway,
    idle: u64,
    memory: Vec<ProcessMemory>,
}

/// Runs a scenario and returns its verdict; `place` is its number among those that run at once.
///
/// # Errors
///
/// A process or fake cannot be started, or the gateway has exited by itself.
pub fn play(scenario: &Scenario, place: usize) -> Result<Verdict> {
    let records = Arc::new(Records::default());
    let workers = (0..WORKERS)
        .map(|_| RecordingWorker::start(scenario.run_time, records.clone()))
        .collect::<Result<Vec<_>>>()?;
    let folder = TempFolder::new("rude-clients")?;
    let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    std::fs::write(
        folder.0.join("config.json"),
        config(scenario, address, &workers),
    )?;
    std::fs::write(folder.0.join("operator.toml"), "")?;
    let core = core_of(place);
    let gateway = start(&folder, core)?;
    let mut run = TestRun {
        scenario: scenario.clone(),
        records,
        folder,
        address,
        core,
        idle: gateway.peak_memory(),
        gateway,
        memory: Vec::new(),
    };
    let clients = run.start_clients();
    let neighbours = BusyNeighbours::start(core, scenario.busy_neighbours);
    let started_at = Instant::now();
    let restart = match scenario.restart_at {
        Some(at) => {
            sleep_until(started_at + at);
            Some(run.restart()?)
        }
        None => None,
    };
    sleep_until(started_at + DURATION);
    run.records.end();
    for client in clients {
        client
            .join()
            .map_err(|_| Error::other("the thread of a client panicked"))?;
    }
    drop(neighbours);
    run.end_process()?;
    let verdict = Verdict::of(scenario, &run.records, &run.memory, restart);
    Ok(verdict)
}

fn config(scenario: &Scenario, address: SocketAddr, workers: &[RecordingWorker]) -> String {
    let endpoints: Vec<_> = workers
        .iter()
        .enumerate()
        .map(|(number, worker)| {
            json!({ "name": format!("s-0000000{number}"), "address": worker.address.to_string(),
                    "zone": "north", "type": "std", "group": 0, "status": "SERVING", "weight": 4,
                    "since_ms": 0 })
        })
        .collect();
    let known = json!({ "rev": 1, "notices": [
        { "rev": 1, "pool": { "index": 1, "snapshot": true, "endpoints": endpoints } } ] });
    json!({ "name": "n1", "listen": address.to_string(), "known": known, "board": "",
            "seed": format!("{:016x}", scenario.seed),
            "limits": { "cores": 1.0, "memory_mb": scenario.memory_mb, "sockets": scenario.sockets },
            "settings": settings(DEADLINE.as_millis() as f64) })
    .to_string()
}

fn start(folder: &TempFolder, core: usize) -> Result<Gateway> {
    let mut gateway = Gateway::spawn_unready(&folder.0)?;
    pin(Some(gateway.pid()), core)?;
    gateway.wait_for_log_line("listens on ")?;
    Ok(gateway)
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

impl TestRun {
    fn start_clients(&self) -> Vec<JoinHandle<()>> {
        let mut clients = Vec::new();
        for number in 0..USUAL_CLIENTS {
            let (address, records) = (self.address, self.records.clone());
            clients.push(std::thread::spawn(move || {
                usual::run(address, number, &records);
            }));
        }
        for group in &self.scenario.groups {
            let threads = if group.rudeness.is_crowd() {
                1
            } else {
                group.clients
            };
            for _ in 0..threads {
                let client = RudeClient {
                    address: self.address,
                    rudeness: group.rudeness,
                    connections: group.clients,
                    records: self.records.clone(),
                };
                clients.push(std::thread::spawn(move || client.run()));
            }
        }
        clients
    }

    /// Tells the process to end, several times, kills it at the earliest allowed time, and starts
    /// its successor.
    fn restart(&mut self) -> Result<Restart> {
        let terminated_at = Instant::now();
        for signal in 0..SIGNALS {
            sleep_until(terminated_at + signal * KILL_AFTER / 4);
            self.note_memory();
            if !self.gateway.has_exited()? {
                self.gateway.terminate()?;
            }
        }
        sleep_until(terminated_at + KILL_AFTER + DEADLINE);
        if !self.gateway.has_exited()? {
            self.note_memory();
            self.gateway.kill()?;
        }
        std::thread::sleep(RESTART_PAUSE);
        self.records.begin_process();
        self.gateway = start(&self.folder, self.core)?;
        self.idle = self.gateway.peak_memory();
        Ok(Restart {
            terminated_at,
            listened_at: Instant::now(),
        })
    }

    fn note_memory(&mut self) {
        let peak = self.gateway.peak_memory();
        self.memory.push(ProcessMemory {
            idle: self.idle,
            peak,
        });
    }

    /// Fails if the gateway has exited by itself.
    fn end_process(&mut self) -> Result<()> {
        if self.gateway.has_exited()? {
            let seed = self.scenario.seed;
            return Err(Error::other(format!(
                "seed {seed}: the gateway exited early"
            )));
        }
        self.note_memory();
        self.gateway.kill()
    }
}
