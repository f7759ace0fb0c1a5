//! A worker that holds every function and counts what it runs.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use molelug::worker::{encode_array, parse_array};

/// How often each call ran, by the identity that the gateway told and its class.
pub type Runs = Arc<Mutex<BTreeMap<(String, String), u32>>>;

/// Takes the next complete command off what has come, as text; `None` while there is none, or it cannot be read.
pub fn take_words(held: &mut Vec<u8>) -> Option<Vec<String>> {
    let array = parse_array(held).ok()??;
    let size = array.size_bytes;
    let words = array
        .strings
        .iter()
        .map(|word| String::from_utf8_lossy(word).into_owned())
        .collect();
    held.drain(..size);
    Some(words)
}

/// A stand-in worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it ran.
    pub runs: Runs,
    /// How long a run takes.
    delay: Duration,
    /// One run in so many loses its answer: the connection just ends. 0 for none.
    cuts: u32,
    /// Whether it takes everything and answers nothing.
    silent: Arc<AtomicBool>,
    /// Pings that came, and orders to load.
    pings: Arc<AtomicU64>,
    orders: Arc<AtomicU64>,
    /// Calls that came while it was silent.
    lost: Arc<AtomicU64>,
}

impl Worker {
    /// Starts one on a free port.
    pub fn start(delay: Duration, cuts: u32) -> std::io::Result<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Worker {
            address: listener.local_addr()?,
            runs: Runs::default(),
            delay,
            cuts,
            silent: Arc::default(),
            pings: Arc::default(),
            orders: Arc::default(),
            lost: Arc::default(),
        };
        let me = worker.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let me = me.clone();
                std::thread::spawn(move || me.serve(stream));
            }
        });
        Ok(worker)
    }

    /// Has it answer nothing from now on, or again.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::Relaxed);
    }

    /// Pings that came to it, orders to load, and calls that came while it was silent.
    pub fn asked(&self) -> (u64, u64, u64) {
        let of = |n: &AtomicU64| n.load(Ordering::Relaxed);
        (of(&self.pings), of(&self.orders), of(&self.lost))
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut held = Vec::new();
        let mut chunk = [0; 16 * 1024];
        let mut seen = 0u32;
        loop {
            while let Some(words) = take_words(&mut held) {
                let tag = words.get(1)?.as_bytes();
                let what = words.first()?.as_str();
                self.pings.fetch_add(
                    u64::from(matches!(what, "ping" | "stat")),
                    Ordering::Relaxed,
                );
                self.orders
                    .fetch_add(u64::from(what == "stage"), Ordering::Relaxed);
                if self.silent.load(Ordering::Relaxed) {
                    self.lost
                        .fetch_add(u64::from(what == "go"), Ordering::Relaxed);
                    continue;
                }
                match what {
                    "go" => {
                        let fields = words.get(2)?;
                        let class = fields.split(',').find_map(|f| f.strip_prefix("profile="))?;
                        let name = (words.get(1)?.clone(), class.to_owned());
                        *self.runs.lock().ok()?.entry(name).or_default() += 1;
                        seen += 1;
                        std::thread::sleep(self.delay);
                        if self.cuts > 0 && seen.is_multiple_of(self.cuts) {
                            return None;
                        }
                        stream
                            .write_all(&encode_array(&[tag, b"200", b"remark=w", b"done"]))
                            .ok()?;
                    }
                    "stage" => stream
                        .write_all(&encode_array(&[tag, b"200", b"copies=1"]))
                        .ok()?,
                    "ping" | "stat" => stream.write_all(&encode_array(&[tag, b"alive"])).ok()?,
                    _ => {}
                }
            }
            match stream.read(&mut chunk).ok()? {
                0 => return None,
                n => held.extend(&chunk[..n]),
            }
        }
    }
}
