//! Connections are reset under requests of a class whose calls carry an idempotency key.
//!
//! Settings and runners of the Kiekjes deployment: two racks of three runners, which load by themselves; the runners of one
//! rack drop a repeat of a `save-edit` for 12 s, by the idempotency key that a request carries in `replay`. Clients send one
//! `save-edit` every 0.5 s, each with a key of its own in `X-Operation-Key`. With TROUBLE=1 a runner resets its connection
//! under three of them, after the edit was applied and before the answer. No edit may be applied twice.

#[path = "common.rs"]
mod common;
use common::*;
use std::collections::{HashMap, HashSet};
use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

const CALLS: usize = 12;
const RESET_UNDER: [usize; 3] = [3, 6, 9];
const WINDOW: Duration = Duration::from_secs(12);

/// What the runners of one rack share: the keys that they have seen, with the answer once there is one.
#[derive(Default)]
struct Rack {
    seen: HashMap<String, (Instant, Option<Vec<u8>>)>,
}

#[derive(Default)]
struct Edits {
    applied: HashMap<String, u32>,
    without_key: u32,
    reset: HashSet<String>,
}

struct Runner {
    name: String,
    address: SocketAddr,
    rack: usize,
    shared: Arc<Mutex<Rack>>,
    edits: Arc<Mutex<Edits>>,
    record: Record,
    trouble: bool,
}

impl Runner {
    fn start(number: usize, rack: usize, shared: Arc<Mutex<Rack>>, edits: Arc<Mutex<Edits>>, case: &Case) -> Arc<Runner> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("runner");
        let runner = Arc::new(Runner {
            name: format!("s-0000000{number}"),
            address: listener.local_addr().unwrap(),
            rack,
            shared,
            edits,
            record: case.record.clone(),
            trouble: case.trouble,
        });
        let own = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        runner
    }

    fn endpoint(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"ams-hall-2","type":"three-core","group":{},"status":"SERVING","weight":1,"since_ms":0}}"#,
            self.name, self.address, self.rack
        )
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else { return };
        let writer = Arc::new(Mutex::new(writer));
        let (mut held, mut chunk) = (Vec::new(), [0; 8192]);
        loop {
            while let Some((words, size)) = parse_array(&held) {
                held.drain(..size);
                let (own, writer) = (self.clone(), writer.clone());
                thread::spawn(move || own.handle(&words, &writer));
            }
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => return,
                Ok(n) => held.extend(&chunk[..n]),
            }
        }
    }

    fn handle(&self, words: &[Vec<u8>], writer: &Arc<Mutex<TcpStream>>) {
        let text = |i: usize| String::from_utf8_lossy(words.get(i).map_or(&[][..], |w| w)).into_owned();
        let answer = |parts: &[&[u8]]| {
            let _ = writer.lock().unwrap().write_all(&encode_array(parts));
        };
        match text(0).as_str() {
            "go" => {}
            "stage" => return answer(&[&words[1], b"200", b"copies=1"]),
            "ping" | "stat" => return answer(&[&words[1], b"alive", b"report=rif:0;x1:0"]),
            _ => return,
        }
        let (id, fields, body) = (text(1), text(2), text(3));
        let key = fields.split(',').find_map(|f| f.strip_prefix("replay=")).map(str::to_owned);
        self.record.say(format!("runner {} (rack {}): attempt {id} came whole ({fields}) {body}", self.name, self.rack));
        // A repeat under a known key is dropped: it gets the first run's answer.
        if let Some(key) = &key {
            let first = {
                let mut rack = self.shared.lock().unwrap();
                rack.seen.retain(|_, (at, _)| at.elapsed() < WINDOW);
                let known = rack.seen.contains_key(key);
                rack.seen.entry(key.clone()).or_insert((Instant::now(), None));
                !known
            };
            if !first {
                self.record.say(format!("runner {}: {id} is a repeat under its key and is dropped", self.name));
                let done = || self.shared.lock().unwrap().seen.get(key).and_then(|(_, done)| done.clone());
                wait_until(3000, || done().is_some());
                return answer(&[id.as_bytes(), b"200", b"remark=w,report=rif:0;x1:0", &done().unwrap_or_default()]);
            }
        }
        let resets = {
            let mut edits = self.edits.lock().unwrap();
            edits.without_key += u32::from(key.is_none());
            let applied = edits.applied.entry(body.clone()).or_default();
            *applied += 1;
            self.record.say(format!("runner {}: {body} is applied, time {applied}", self.name));
            let chosen = RESET_UNDER.iter().any(|n| body.starts_with(&format!("edit {n} ")));
            self.trouble && chosen && edits.reset.insert(body.clone())
        };
        sleep_ms(150);
        if let Some(key) = key {
            self.shared.lock().unwrap().seen.insert(key, (Instant::now(), Some(body.clone().into_bytes())));
        }
        if resets {
            self.record.say(format!("runner {}: the connection is reset under {id}", self.name));
            let stream = writer.lock().unwrap();
            let linger = [1i32, 0];
            unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
        answer(&[id.as_bytes(), b"200", b"remark=w,report=rif:0;x1:0", body.as_bytes()]);
    }
}

/// The settings of kiekjes-ams.toml, under the names of the wire.
const SETTINGS: &str = r#"{"groupSize":1,"me":0,"zone":0,"tickMs":4.0,"dcs":["ams-hall-2"],"hostTypes":["three-core"],
 "family":"warm","registryMode":"pushed","tier":0,"tiers":["model-runners"],"weightKind":"off","worthBy":"request","overShareWorth":0.05,
 "services":[
 {"name":"preview","repeat":"read_like","aimMs":1500.0,"hardLimitMs":5000.0,"lateWorth":0.2,"worth":1.0,"group":"all","dedupWindowMs":5000.0,"stream":false},
 {"name":"save-edit","repeat":"idempotency_key","aimMs":800.0,"hardLimitMs":6000.0,"lateWorth":0.1,"worth":2.0,"group":"cell","dedupWindowMs":12000.0,"stream":false},
 {"name":"order","repeat":"non_idempotent","aimMs":800.0,"hardLimitMs":4000.0,"lateWorth":0.1,"worth":2.0,"group":"all","dedupWindowMs":5000.0,"stream":false}],
 "orgs":[],
 "caps":{"cancel":true,"connIdleMs":15000.0,"connectTimeoutMs":250.0,"cpuUsPerS":500000,"maxRetryAfterMs":500.0,"mostHeld":20000,"mostTries":6,"parallelTries":true,"peers":true,"probes":false,"retryAfter":true,"streamsPerConn":100},
 "familyInfo":{"keepMs":8600.0,"loadRatio":0.0,"loadWindowMs":0.0,"loadsAnyway":0.0,"marksCold":true,"mayLoad":true,"memoryPrice":0.0,"onMiss":"load","orderLimitMs":10000.0,"ramMbByKind":[60000.0],"reportX1":"loads_under_way_or_waiting","saysCompany":false},
 "obligations":{"askWithinMs":10000.0,"coldFrom":0.17,"coldMs":17000.0,"drainGraceMs":500.0,"fallMs":2000.0,"fallMultiple":4.0,"graceToAnswerMs":16.0},
 "report":{"via":"inline","fields":["rif","x1"]}}"#;

fn play(case: &Case) -> Result<Verdict, String> {
    let edits: Arc<Mutex<Edits>> = Arc::default();
    let racks = [Arc::<Mutex<Rack>>::default(), Arc::default()];
    let runners: Vec<Arc<Runner>> =
        (0..6).map(|n| Runner::start(n + 1, n / 3, racks[n / 3].clone(), edits.clone(), case)).collect();
    let board = Board::start();
    let listen = free_address();
    let endpoints: Vec<String> = runners.iter().map(|r| r.endpoint()).collect();
    let config = case.temp.join("config.json");
    let text = format!(
        r#"{{"name":"n1","listen":"{listen}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"board":"{}","known":{{"rev":1,"notices":[{{"rev":1,"pool":{{"index":1,"snapshot":true,"endpoints":[{}]}}}}]}},"settings":{SETTINGS}}}"#,
        unix_micros(),
        board.address,
        endpoints.join(",")
    );
    fs::write(&config, text).map_err(|e| e.to_string())?;
    let mut gateway = Gateway::start(case, "n1", listen, &config, "")?;
    let mut clients = Vec::new();
    for n in 0..CALLS {
        let record = case.record.clone();
        clients.push(thread::spawn(move || {
            let id = format!("{:016x}", 0xabc0_0000_0000_0000u64 + n as u64);
            let key = format!("{:032x}", 0x5c0f_6e1a_2b3d_4c59_0000u128 + n as u128);
            let headers = [
                ("X-Class", "save-edit"),
                ("X-Correlation-Id", id.as_str()),
                ("X-Operation-Key", key.as_str()),
                ("X-Deadline-Ms", "6000"),
                ("X-Extras", "memory_mb:3000;lanes:4;load_ms:800"),
            ];
            let body = format!("edit {n} of album {}", n % 2);
            record.say(format!("client: {id} sends '{body}' under the key {key}"));
            let answer = http(listen, "POST", "/call/7f3a9c21e0b4d655/trigger", &headers, body.as_bytes(), 7000);
            let text = answer.map_or_else(|e| e, |(status, _, body)| format!("{status} {}", String::from_utf8_lossy(&body)));
            record.say(format!("client: {id} answered {text}"));
        }));
        sleep_ms(500);
    }
    for client in clients {
        let _ = client.join();
    }
    sleep_ms(500);
    if !gateway.is_running() {
        return Err("the gateway ended".into());
    }
    let edits = edits.lock().unwrap();
    if edits.applied.len() < CALLS {
        return Err(format!("only {} of {CALLS} edits reached a runner", edits.applied.len()));
    }
    case.record.say(format!("{} attempts came without the key that their client sent", edits.without_key));
    let mut twice: Vec<String> = edits.applied.iter().filter(|(_, n)| **n > 1).map(|(b, n)| format!("'{b}' {n} times")).collect();
    twice.sort();
    if twice.is_empty() {
        Ok(Verdict::Held)
    } else {
        Ok(Verdict::Broken(format!("edits were applied more than once: {}", twice.join(", "))))
    }
}

fn main() {
    let case = Case::start("keyed-repeat");
    let verdict = play(&case).unwrap_or_else(Verdict::CouldNotRun);
    case.end(verdict)
}
