//! A worker that holds every function and counts what it runs.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use molelug::worker::{array, parse};

/// How often each call ran, by the identity that the gateway told and its class.
pub type Runs = Arc<Mutex<BTreeMap<(String, String), u32>>>;

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
}

impl Worker {
    /// Starts one on a free port.
    pub fn start(delay: Duration, cuts: u32) -> std::io::Result<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Worker { address: listener.local_addr()?, runs: Runs::default(), delay, cuts };
        let me = worker.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let me = me.clone();
                std::thread::spawn(move || me.serve(stream));
            }
        });
        Ok(worker)
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut held = Vec::new();
        let mut chunk = [0; 16 * 1024];
        let mut seen = 0u32;
        loop {
            while let Ok(Some((words, size))) = parse(&held) {
                let words: Vec<String> =
                    words.iter().map(|w| String::from_utf8_lossy(w).into_owned()).collect();
                held.drain(..size);
                let tag = words.get(1)?.as_bytes();
                match words.first()?.as_str() {
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
                        stream.write_all(&array(&[tag, b"200", b"remark=w", b"done"])).ok()?;
                    }
                    "stage" => stream.write_all(&array(&[tag, b"200", b"copies=1"])).ok()?,
                    "ping" | "stat" => stream.write_all(&array(&[tag, b"alive"])).ok()?,
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
