//! A fake worker that drains, exits and returns, and records the commands it receives.

use std::collections::BTreeMap;
use std::io::{Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use molelug::worker::encode_array;

use super::toggled_listener::ToggledListener;
use crate::fakes::worker::take_command;

/// Duration of a run.
const RUN_TIME: Duration = Duration::from_millis(6);
/// Duration of a load.
const LOAD_TIME: Duration = Duration::from_millis(40);
/// Interval at which the listener polls for connections and state changes.
const POLL_INTERVAL: Duration = Duration::from_millis(4);

/// State of the worker's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    Serving,
    /// Finishes running calls and rejects new calls and loads.
    Draining,
    /// Not running.
    Ended,
}

/// Kind of a command that the worker received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandKind {
    Call,
    /// A load order for at least one copy.
    Load,
    HealthCheck,
}

/// A command that the worker received.
#[derive(Clone, Copy, Debug)]
pub struct Received {
    pub kind: CommandKind,
    pub at: Instant,
    pub served: bool,
}

#[derive(Debug)]
struct Shared {
    state: ProcessState,
    /// Number of the current process.
    process: u32,
    /// Loaded functions, and the time from which each is ready.
    loaded: BTreeMap<String, Instant>,
    received: Vec<Received>,
    streams: Vec<TcpStream>,
    /// Percentage of calls that are never answered.
    unanswered_percent: u64,
    over: bool,
}

/// The fake worker.
#[derive(Clone, Debug)]
pub struct DrainableWorker {
    pub name: String,
    pub address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
}

impl DrainableWorker {
    /// Starts a worker on a free port.
    pub fn start(name: String) -> Result<DrainableWorker> {
        let listener = ToggledListener::bind()?;
        let worker = DrainableWorker {
            name,
            address: listener.address(),
            shared: Arc::new(Mutex::new(Shared {
                state: ProcessState::Serving,
                process: 0,
                loaded: BTreeMap::new(),
                received: Vec::new(),
                streams: Vec::new(),
                unanswered_percent: 0,
                over: false,
            })),
        };
        let own = worker.clone();
        std::thread::spawn(move || own.accept(listener));
        Ok(worker)
    }

    /// Sets the state of the process. A process that ends closes its connections and forgets its
    /// loaded functions.
    pub fn set(&self, state: ProcessState) {
        let mut shared = self.lock();
        shared.state = state;
        if state == ProcessState::Ended {
            shared.process += 1;
            shared.loaded.clear();
            for stream in shared.streams.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Never answers this percentage of calls from now on.
    pub fn leave_unanswered(&self, percent: u64) {
        self.lock().unanswered_percent = percent;
    }

    /// Returns the commands received, in order.
    pub fn received(&self) -> Vec<Received> {
        self.lock().received.clone()
    }

    /// Stops the worker.
    pub fn stop(&self) {
        self.set(ProcessState::Ended);
        self.lock().over = true;
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn accept(&self, mut listener: ToggledListener) {
        loop {
            let (ended, over, process) = {
                let shared = self.lock();
                let ended = shared.state == ProcessState::Ended;
                (ended, shared.over, shared.process)
            };
            if over {
                return;
            }
            listener.set_open(!ended);
            let Some(stream) = listener.accept() else {
                std::thread::sleep(POLL_INTERVAL);
                continue;
            };
            let Ok(copy) = stream.try_clone() else {
                continue;
            };
            self.lock().streams.push(copy);
            let own = self.clone();
            std::thread::spawn(move || own.serve(stream, process));
        }
    }

    fn serve(&self, mut stream: TcpStream, process: u32) -> Option<()> {
        let mut buffer = Vec::new();
        let mut chunk = [0; 16 * 1024];
        loop {
            while let Some(words) = take_command(&mut buffer) {
                self.answer(&mut stream, &words, process)?;
            }
            match stream.read(&mut chunk).ok()? {
                0 => return None,
                n => buffer.extend(&chunk[..n]),
            }
        }
    }

    /// Records and answers one command; `None` if the process that received it has ended.
    fn answer(&self, stream: &mut TcpStream, words: &[String], process: u32) -> Option<()> {
        let command = words.first()?.as_str();
        let tag = words.get(1)?.as_bytes();
        let fields = words.get(2).map_or("", String::as_str);
        let field = |name: &str| {
            fields
                .split(',')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
                .unwrap_or_default()
                .to_owned()
        };
        let serves = self.state_of(process)? == ProcessState::Serving;
        let answer: (&[u8], &[u8]) = match command {
            "go" => {
                let loaded = self.is_loaded(&field("thing"));
                self.record(CommandKind::Call, serves && loaded);
                if self.leaves_unanswered() {
                    return Some(());
                }
                match (serves, loaded) {
                    (false, _) => (b"503", b"report=inflight:0;x1:0;x0:0.1"),
                    (true, false) => (b"404", b"-"),
                    (true, true) => {
                        std::thread::sleep(RUN_TIME);
                        (b"200", b"remark=w,report=inflight:1;x1:0;x0:0.1")
                    }
                }
            }
            "stage" if field("copies") == "0" => (b"200", b"copies=0"),
            "stage" => {
                self.record(CommandKind::Load, serves);
                if serves {
                    let function = field("thing");
                    let ready_at = Instant::now() + LOAD_TIME;
                    self.lock().loaded.entry(function).or_insert(ready_at);
                    std::thread::sleep(LOAD_TIME);
                    (b"200", b"copies=1")
                } else {
                    (b"503", b"copies=0")
                }
            }
            "stat" | "ping" => {
                self.record(CommandKind::HealthCheck, serves);
                let state: &[u8] = if serves { b"alive" } else { b"dead" };
                stream.write_all(&encode_array(&[tag, state])).ok()?;
                return Some(());
            }
            _ => return Some(()),
        };
        self.state_of(process)?;
        stream
            .write_all(&encode_array(&[tag, answer.0, answer.1, b"done"]))
            .ok()
    }

    /// Returns the state of the process with this number; `None` if it has ended.
    fn state_of(&self, process: u32) -> Option<ProcessState> {
        let shared = self.lock();
        (shared.process == process).then_some(shared.state)
    }

    /// Whether the call received last is never answered, spread evenly over all calls.
    fn leaves_unanswered(&self) -> bool {
        let shared = self.lock();
        let number = shared.received.len() as u64;
        (number * shared.unanswered_percent) % 100 < shared.unanswered_percent
    }

    fn is_loaded(&self, function: &str) -> bool {
        self.lock()
            .loaded
            .get(function)
            .is_some_and(|from| *from <= Instant::now())
    }

    fn record(&self, kind: CommandKind, served: bool) {
        let at = Instant::now();
        self.lock().received.push(Received { kind, at, served });
    }
}
