//! A fake worker on which every function is loaded and that counts the calls it runs.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use molelug::worker::{encode_array, parse_array};

/// Number of runs of each call, by the call identity that the gateway sent and the class.
pub type Runs = Arc<Mutex<BTreeMap<(String, String), u32>>>;

/// Removes the next complete command from the received bytes and returns its words. `None` if the
/// command is incomplete or malformed.
pub fn take_command(buffer: &mut Vec<u8>) -> Option<Vec<String>> {
    let array = parse_array(buffer).ok()??;
    let size = array.size_bytes;
    let words = array
        .strings
        .iter()
        .map(|word| String::from_utf8_lossy(word).into_owned())
        .collect();
    buffer.drain(..size);
    Some(words)
}

/// A fake worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Address of the listener.
    pub address: SocketAddr,
    /// Calls that have run.
    pub runs: Runs,
    /// Duration of a run.
    delay: Duration,
    /// Every n-th run on a connection closes the connection without an answer. 0 for none.
    close_every: u32,
    /// Set while the worker reads commands and answers none.
    silent: Arc<AtomicBool>,
    /// Health checks received.
    pings: Arc<AtomicU64>,
    /// Load orders received.
    orders: Arc<AtomicU64>,
    /// Calls received while silent.
    calls_while_silent: Arc<AtomicU64>,
}

impl Worker {
    /// Starts a worker on a free port.
    pub fn start(delay: Duration, close_every: u32) -> std::io::Result<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Worker {
            address: listener.local_addr()?,
            runs: Runs::default(),
            delay,
            close_every,
            silent: Arc::default(),
            pings: Arc::default(),
            orders: Arc::default(),
            calls_while_silent: Arc::default(),
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

    /// Stops or resumes all answers.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::Relaxed);
    }

    /// Returns the numbers of health checks, of load orders, and of calls received while silent.
    pub fn request_counts(&self) -> (u64, u64, u64) {
        let of = |n: &AtomicU64| n.load(Ordering::Relaxed);
        (
            of(&self.pings),
            of(&self.orders),
            of(&self.calls_while_silent),
        )
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut buffer = Vec::new();
        let mut chunk = [0; 16 * 1024];
        let mut run_count = 0u32;
        loop {
            while let Some(words) = take_command(&mut buffer) {
                let tag = words.get(1)?.as_bytes();
                let command = words.first()?.as_str();
                self.pings.fetch_add(
                    u64::from(matches!(command, "ping" | "stat")),
                    Ordering::Relaxed,
                );
                self.orders
                    .fetch_add(u64::from(command == "stage"), Ordering::Relaxed);
                if self.silent.load(Ordering::Relaxed) {
                    self.calls_while_silent
                        .fetch_add(u64::from(command == "go"), Ordering::Relaxed);
                    continue;
                }
                match command {
                    "go" => {
                        let fields = words.get(2)?;
                        let class = fields.split(',').find_map(|f| f.strip_prefix("profile="))?;
                        let key = (words.get(1)?.clone(), class.to_owned());
                        *self.runs.lock().ok()?.entry(key).or_default() += 1;
                        run_count += 1;
                        std::thread::sleep(self.delay);
                        if self.close_every > 0 && run_count.is_multiple_of(self.close_every) {
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
                n => buffer.extend(&chunk[..n]),
            }
        }
    }
}
