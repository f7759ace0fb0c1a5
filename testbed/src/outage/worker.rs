//! A stand-in worker that drains, ends and comes back, and records what reached it.

use std::collections::BTreeMap;
use std::io::{Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use molelug::worker::encode_array;

use super::toggled_listener::ToggledListener;
use crate::fakes::worker::take_words;

/// How long a run takes.
const RUN_TIME: Duration = Duration::from_millis(6);
/// How long a load takes.
const LOAD_TIME: Duration = Duration::from_millis(40);
/// How often the listener looks whether it is to listen.
const STEP: Duration = Duration::from_millis(4);

/// What its process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    Serving,
    /// It finishes what it has and rejects what is new.
    Draining,
    /// It does not run.
    Ended,
}

/// What reached it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Call,
    /// An order for at least one copy.
    Load,
    HealthCheck,
}

/// One thing that reached it.
#[derive(Clone, Copy, Debug)]
pub struct Received {
    pub kind: Kind,
    pub at: Instant,
    pub served: bool,
}

#[derive(Debug)]
struct Shared {
    state: ProcessState,
    /// Counts its processes.
    process: u32,
    /// The functions that are loaded, and from when on.
    loaded: BTreeMap<String, Instant>,
    received: Vec<Received>,
    streams: Vec<TcpStream>,
    over: bool,
}

/// The stand-in.
#[derive(Clone, Debug)]
pub struct DrainableWorker {
    pub name: String,
    pub address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
}

impl DrainableWorker {
    /// Starts one on a free port.
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
                over: false,
            })),
        };
        let own = worker.clone();
        std::thread::spawn(move || own.accept(listener));
        Ok(worker)
    }

    /// Changes what its process does. A process that ends resets its connections and forgets what it has loaded.
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

    /// All that reached it, in order.
    pub fn received(&self) -> Vec<Received> {
        self.lock().received.clone()
    }

    /// Ends it.
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
                std::thread::sleep(STEP);
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
        let mut held = Vec::new();
        let mut chunk = [0; 16 * 1024];
        loop {
            while let Some(words) = take_words(&mut held) {
                self.answer(&mut stream, &words, process)?;
            }
            match stream.read(&mut chunk).ok()? {
                0 => return None,
                n => held.extend(&chunk[..n]),
            }
        }
    }

    /// Records and answers one command; `None` once the process that took it has ended.
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
                self.record(Kind::Call, serves && loaded);
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
                self.record(Kind::Load, serves);
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
                self.record(Kind::HealthCheck, serves);
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

    /// What the process of this number does; `None` once it has ended.
    fn state_of(&self, process: u32) -> Option<ProcessState> {
        let shared = self.lock();
        (shared.process == process).then_some(shared.state)
    }

    fn is_loaded(&self, function: &str) -> bool {
        self.lock()
            .loaded
            .get(function)
            .is_some_and(|from| *from <= Instant::now())
    }

    fn record(&self, kind: Kind, served: bool) {
        let at = Instant::now();
        self.lock().received.push(Received { kind, at, served });
    }
}
