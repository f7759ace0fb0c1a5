//! Fake workers of one rack that drop repeats by idempotency key and record what they applied.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use molelug::worker::encode_array;
use rustix::net::sockopt::set_socket_linger;

use crate::fakes::worker::take_command;

/// What the workers of a rack remember.
#[derive(Debug, Default)]
pub(super) struct Memory {
    /// The keys of applied calls.
    keys: BTreeSet<String>,
    /// How often each call was applied, by its body.
    pub(super) applied: BTreeMap<String, u32>,
    /// How many attempts arrived for each call, by its body.
    pub(super) attempts: BTreeMap<String, u32>,
    /// How many attempts of each call are still to be reset after they were applied, by its body.
    pub(super) resets: BTreeMap<String, u32>,
}

/// One worker.
#[derive(Clone, Debug)]
pub(super) struct RackWorker {
    pub(super) address: SocketAddr,
    memory: Arc<Mutex<Memory>>,
    delay: Duration,
}

/// What a worker does with an attempt.
enum Reaction {
    Answer,
    Reset,
}

impl RackWorker {
    /// Starts the workers of a rack. Each call takes `delay`.
    pub(super) fn start_rack(workers: usize, delay: Duration) -> std::io::Result<Vec<RackWorker>> {
        let memory = Arc::<Mutex<Memory>>::default();
        (0..workers)
            .map(|_| RackWorker::start(memory.clone(), delay))
            .collect()
    }

    fn start(memory: Arc<Mutex<Memory>>, delay: Duration) -> std::io::Result<RackWorker> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = RackWorker {
            address: listener.local_addr()?,
            memory,
            delay,
        };
        let server = worker.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        Ok(worker)
    }

    pub(super) fn memory(&self) -> MutexGuard<'_, Memory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let (mut buffer, mut chunk) = (Vec::new(), [0; 16 * 1024]);
        loop {
            while let Some(words) = take_command(&mut buffer) {
                let tag = words.get(1)?.clone();
                match words.first()?.as_str() {
                    "go" => {
                        let worker = self.clone();
                        let answer_to = stream.try_clone().ok()?;
                        std::thread::spawn(move || worker.run(&tag, &words, answer_to));
                    }
                    "stage" => write(&stream, &[tag.as_bytes(), b"200", b"copies=1"])?,
                    "ping" | "stat" => write(&stream, &[tag.as_bytes(), b"alive"])?,
                    _ => {}
                }
            }
            match stream.read(&mut chunk).ok()? {
                0 => return None,
                n => buffer.extend(&chunk[..n]),
            }
        }
    }

    fn run(&self, tag: &str, words: &[String], stream: TcpStream) -> Option<()> {
        let (fields, body) = (words.get(2)?, words.get(3)?);
        let key = fields.split(',').find_map(|f| f.strip_prefix("replay="));
        let reaction = self.memory().apply(key, body);
        std::thread::sleep(self.delay);
        match reaction {
            Reaction::Answer => write(&stream, &[tag.as_bytes(), b"200", b"remark=w", b"done"]),
            Reaction::Reset => {
                set_socket_linger(&stream, Some(Duration::ZERO)).ok()?;
                stream.shutdown(std::net::Shutdown::Both).ok()
            }
        }
    }
}

impl Memory {
    fn apply(&mut self, key: Option<&str>, body: &str) -> Reaction {
        *self.attempts.entry(body.to_owned()).or_default() += 1;
        let is_repeat = key.is_some_and(|key| !self.keys.insert(key.to_owned()));
        if !is_repeat {
            *self.applied.entry(body.to_owned()).or_default() += 1;
        }
        match self.resets.get_mut(body).filter(|left| **left > 0) {
            Some(left) => {
                *left -= 1;
                Reaction::Reset
            }
            None => Reaction::Answer,
        }
    }
}

fn write(mut stream: &TcpStream, words: &[&[u8]]) -> Option<()> {
    stream.write_all(&encode_array(words)).ok()
}
