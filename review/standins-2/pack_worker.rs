//! A sound worker: it runs a call where its function is loaded or being loaded, and else answers `miss`. It notes each
//! attempt from the moment it has come whole until its end has been written or it was given up.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::common::{log, sleep_ms};
use crate::net::{field, worker, Connection};

#[derive(Default)]
pub struct Attempts {
    /// The attempts that are out: the call's identity, and the worker that has it.
    out: HashMap<String, Vec<String>>,
    /// How often each call has run.
    pub runs: HashMap<String, u32>,
    /// The calls of which two attempts were out at once.
    pub overlaps: Vec<String>,
}

pub struct PackWorker {
    pub name: String,
    pub load_ms: u64,
    pub work_ms: u64,
    /// When a function is loaded.
    loaded: Mutex<HashMap<String, Instant>>,
    pub attempts: Arc<Mutex<Attempts>>,
    /// The delay of a second copy of a `miss`, by the number of the `miss`; 0 for none.
    pub second_miss_ms: Box<dyn Fn(u64) -> u64 + Send + Sync>,
    misses: Mutex<u64>,
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

impl PackWorker {
    pub fn start(
        name: &str,
        (load_ms, work_ms): (u64, u64),
        attempts: Arc<Mutex<Attempts>>,
        second_miss_ms: Box<dyn Fn(u64) -> u64 + Send + Sync>,
    ) -> SocketAddr {
        let pack = Arc::new(PackWorker {
            name: name.to_owned(),
            load_ms,
            work_ms,
            loaded: Mutex::default(),
            attempts,
            second_miss_ms,
            misses: Mutex::new(0),
        });
        worker(Arc::new(move |connection, words| {
            if let Some(words) = words {
                pack.clone().command(connection.clone(), words);
            }
        }))
    }

    fn began(&self, id: &str) {
        let mut attempts = self.attempts.lock().unwrap();
        let out = attempts.out.entry(id.to_owned()).or_default();
        out.push(self.name.clone());
        let others = out.len() - 1;
        log(format!("{} go {id}, of which {others} other attempt(s) are out", self.name));
        if others > 0 {
            attempts.overlaps.push(id.to_owned());
        }
    }

    fn ended(&self, id: &str) {
        let mut attempts = self.attempts.lock().unwrap();
        if let Some(out) = attempts.out.get_mut(id) {
            if let Some(at) = out.iter().position(|name| *name == self.name) {
                out.remove(at);
            }
        }
    }

    fn command(self: Arc<Self>, connection: Arc<Connection>, words: Vec<Vec<u8>>) {
        let id = words.get(1).map(|id| text(id)).unwrap_or_default();
        match words[0].as_slice() {
            b"go" => {
                self.began(&id);
                let function = field(&words[2], "thing").unwrap_or_default();
                let ready_at = self.loaded.lock().unwrap().get(&function).copied();
                let Some(ready_at) = ready_at else {
                    return self.miss(connection, id);
                };
                std::thread::spawn(move || {
                    let waits = ready_at.saturating_duration_since(Instant::now());
                    std::thread::sleep(waits);
                    *self.attempts.lock().unwrap().runs.entry(id.clone()).or_default() += 1;
                    log(format!("{} runs {id}", self.name));
                    sleep_ms(self.work_ms);
                    let remark: &[u8] = if waits.is_zero() { b"remark=w" } else { b"remark=j" };
                    self.ended(&id);
                    connection.reply(&[id.as_bytes(), b"200", remark, &words[3]]);
                    log(format!("{} answers {id} 200", self.name));
                });
            }
            b"halt" => {
                log(format!("{} halt {id}", self.name));
                self.ended(&id);
            }
            b"stage" => {
                let function = field(&words[2], "thing").unwrap_or_default();
                let copies: u32 = field(&words[2], "copies").and_then(|n| n.parse().ok()).unwrap_or(0);
                let now = Instant::now();
                let mut loaded = self.loaded.lock().unwrap();
                if copies == 0 {
                    let stands = loaded.get(&function).is_some_and(|at| *at <= now);
                    let fields = format!("copies={}", u32::from(stands));
                    connection.reply(&[id.as_bytes(), b"200", fields.as_bytes(), b""]);
                    return;
                }
                let ready_at = *loaded.entry(function.clone()).or_insert(now + Duration::from_millis(self.load_ms));
                drop(loaded);
                log(format!("{} stage {id} of {function}", self.name));
                std::thread::spawn(move || {
                    std::thread::sleep(ready_at.saturating_duration_since(Instant::now()));
                    connection.reply(&[id.as_bytes(), b"200", b"copies=1", b""]);
                });
            }
            b"stat" | b"ping" => {
                connection.reply(&[id.as_bytes(), b"alive", b"report=rif:0;x1:0;x0:0.1", b""]);
            }
            _ => {}
        }
    }

    fn miss(&self, connection: Arc<Connection>, id: String) {
        let number = {
            let mut misses = self.misses.lock().unwrap();
            *misses += 1;
            *misses
        };
        self.ended(&id);
        connection.reply(&[id.as_bytes(), b"404", b"-", b""]);
        log(format!("{} answers {id} 404", self.name));
        let delay = (self.second_miss_ms)(number);
        if delay > 0 {
            let name = self.name.clone();
            std::thread::spawn(move || {
                sleep_ms(delay);
                connection.reply(&[id.as_bytes(), b"404", b"-", b""]);
                log(format!("{name} answers {id} 404 a second time, {delay} ms after the first"));
            });
        }
    }
}
