//! What all cases share: the record, ports, the gateway as a process, and signatures.

use std::fs::{self, File};
use std::io::Write;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Opens the record and makes the temporary folder; ends the case after 115 s whatever happens.
pub fn begin(record: &str) {
    let file = File::create(record).expect("the record can be written");
    RECORD.set((Instant::now(), Mutex::new(file))).expect("begun once");
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    FOLDER.set(folder).expect("begun once");
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(115));
        log("the case took too long");
        end(COULD_NOT_RUN);
    });
}

/// Milliseconds since the case began.
pub fn ms() -> u64 {
    RECORD.get().map_or(0, |(start, _)| start.elapsed().as_millis() as u64)
}

/// Writes a line to the record.
pub fn log(text: impl AsRef<str>) {
    if let Some((start, file)) = RECORD.get() {
        let line = format!("{:>8.1} ms  {}\n", start.elapsed().as_secs_f64() * 1e3, text.as_ref());
        let _ = file.lock().unwrap_or_else(|e| e.into_inner()).write_all(line.as_bytes());
    }
}

/// Whether the disruption is on.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn folder() -> &'static Path {
    FOLDER.get().expect("begun")
}

/// Ends all processes that the case started, removes the temporary folder and exits.
pub fn end(code: i32) -> ! {
    for mut child in children().drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
    std::thread::sleep(Duration::from_millis(50));
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(folder());
    }
    let word = match code {
        HELD => "the rule held",
        BROKEN => "the rule was broken",
        _ => "the case could not run",
    };
    log(format!("verdict: {word}"));
    println!("{word}");
    std::process::exit(code)
}

/// Ends the case with 2 unless the condition holds.
pub fn require(holds: bool, what: &str) {
    if !holds {
        log(format!("cannot run: {what}"));
        end(COULD_NOT_RUN);
    }
}

pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh")
        .args(["-c", &format!("kill -{name} {pid} 2>/dev/null")])
        .status();
}

/// A port of the loopback interface that is free now.
pub fn free_port() -> u16 {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    socket.local_addr().expect("an address").port()
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Waits until the condition holds; returns whether it did in time.
pub fn wait_for(limit_ms: u64, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + Duration::from_millis(limit_ms);
    while Instant::now() < until {
        if holds() {
            return true;
        }
        sleep_ms(5);
    }
    holds()
}

fn children() -> MutexGuard<'static, Vec<Child>> {
    CHILDREN.lock().unwrap_or_else(|e| e.into_inner())
}

/// A gateway, started with the command `run` of deploy/balancer.toml.
pub struct Gateway {
    pid: u32,
    pub name: String,
}

fn run_command() -> String {
    let deploy = fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = deploy.lines().find(|line| line.starts_with("run = "));
    let value = line.and_then(|line| line.split_once('"')).map(|(_, rest)| rest);
    let end = value.and_then(|rest| rest.rfind('"'));
    match (value, end) {
        (Some(value), Some(end)) => value[..end].to_owned(),
        _ => panic!("no run in deploy/balancer.toml"),
    }
}

impl Gateway {
    /// Starts a gateway with a configuration and further arguments. `tmp` is its $TMPDIR.
    pub fn start(name: &str, config: &Path, arguments: &str, tmp: &Path) -> Gateway {
        Gateway::start_with(name, config, arguments, tmp, &[])
    }

    pub fn start_with(
        name: &str,
        config: &Path,
        arguments: &str,
        tmp: &Path,
        variables: &[(&str, String)],
    ) -> Gateway {
        fs::create_dir_all(tmp).expect("a folder for $TMPDIR");
        let log_file = File::options()
            .create(true)
            .append(true)
            .open(folder().join(format!("{name}.log")))
            .expect("a log");
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &format!("{} {arguments}", run_command())])
            .env("RELAY_CONFIG", config)
            .env("RELAY_NAME", name)
            .env("TMPDIR", tmp)
            .env_remove("RELAY_LISTEN")
            .env_remove("RELAY_ADMIN_ADDR")
            .env_remove("RELAY_FD")
            .stdin(Stdio::null())
            .stdout(log_file.try_clone().expect("a log"))
            .stderr(log_file);
        if let Ok(level) = std::env::var("MOLELUG_LOG") {
            command.env("MOLELUG_LOG", level);
        }
        for (key, value) in variables {
            command.env(key, value);
        }
        let child = command.spawn().expect("the gateway starts");
        let pid = child.id();
        children().push(child);
        log(format!("{name}: started"));
        Gateway { pid, name: name.to_owned() }
    }

    pub fn signal(&self, name: &str) {
        log(format!("{}: SIG{name}", self.name));
        signal(self.pid, name);
    }

    /// Kills it at once and waits for its end.
    pub fn kill(&mut self) {
        log(format!("{}: SIGKILL", self.name));
        let mut children = children();
        if let Some(child) = children.iter_mut().find(|child| child.id() == self.pid) {
            let _ = child.kill();
            let _ = child.wait();
        }
        children.retain(|child| child.id() != self.pid);
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let mut children = children();
        let child = children.iter_mut().find(|child| child.id() == self.pid);
        let ended = child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))));
        if ended {
            children.retain(|child| child.id() != self.pid);
        }
        ended
    }
}

/// SHA-256.
pub fn sha256(data: &[u8]) -> [u8; 32] {
    const K: [u32; 64] = [
        0x428a2f98, 0x71374491, 0xb5c0fbcf, 0xe9b5dba5, 0x3956c25b, 0x59f111f1, 0x923f82a4, 0xab1c5ed5,
        0xd807aa98, 0x12835b01, 0x243185be, 0x550c7dc3, 0x72be5d74, 0x80deb1fe, 0x9bdc06a7, 0xc19bf174,
        0xe49b69c1, 0xefbe4786, 0x0fc19dc6, 0x240ca1cc, 0x2de92c6f, 0x4a7484aa, 0x5cb0a9dc, 0x76f988da,
        0x983e5152, 0xa831c66d, 0xb00327c8, 0xbf597fc7, 0xc6e00bf3, 0xd5a79147, 0x06ca6351, 0x14292967,
        0x27b70a85, 0x2e1b2138, 0x4d2c6dfc, 0x53380d13, 0x650a7354, 0x766a0abb, 0x81c2c92e, 0x92722c85,
        0xa2bfe8a1, 0xa81a664b, 0xc24b8b70, 0xc76c51a3, 0xd192e819, 0xd6990624, 0xf40e3585, 0x106aa070,
        0x19a4c116, 0x1e376c08, 0x2748774c, 0x34b0bcb5, 0x391c0cb3, 0x4ed8aa4a, 0x5b9cca4f, 0x682e6ff3,
        0x748f82ee, 0x78a5636f, 0x84c87814, 0x8cc70208, 0x90befffa, 0xa4506ceb, 0xbef9a3f7, 0xc67178f2,
    ];
    let mut h: [u32; 8] = [
        0x6a09e667, 0xbb67ae85, 0x3c6ef372, 0xa54ff53a, 0x510e527f, 0x9b05688c, 0x1f83d9ab, 0x5be0cd19,
    ];
    let mut message = data.to_vec();
    message.push(0x80);
    while message.len() % 64 != 56 {
        message.push(0);
    }
    message.extend(((data.len() as u64) * 8).to_be_bytes());
    for block in message.chunks(64) {
        let mut w = [0u32; 64];
        for (i, word) in block.chunks(4).enumerate() {
            w[i] = u32::from_be_bytes([word[0], word[1], word[2], word[3]]);
        }
        for i in 16..64 {
            let s0 = w[i - 15].rotate_right(7) ^ w[i - 15].rotate_right(18) ^ (w[i - 15] >> 3);
            let s1 = w[i - 2].rotate_right(17) ^ w[i - 2].rotate_right(19) ^ (w[i - 2] >> 10);
            w[i] = w[i - 16].wrapping_add(s0).wrapping_add(w[i - 7]).wrapping_add(s1);
        }
        let mut v = h;
        for i in 0..64 {
            let s1 = v[4].rotate_right(6) ^ v[4].rotate_right(11) ^ v[4].rotate_right(25);
            let ch = (v[4] & v[5]) ^ (!v[4] & v[6]);
            let t1 = v[7].wrapping_add(s1).wrapping_add(ch).wrapping_add(K[i]).wrapping_add(w[i]);
            let s0 = v[0].rotate_right(2) ^ v[0].rotate_right(13) ^ v[0].rotate_right(22);
            let maj = (v[0] & v[1]) ^ (v[0] & v[2]) ^ (v[1] & v[2]);
            let t2 = s0.wrapping_add(maj);
            v = [t1.wrapping_add(t2), v[0], v[1], v[2], v[3].wrapping_add(t1), v[4], v[5], v[6]];
        }
        for i in 0..8 {
            h[i] = h[i].wrapping_add(v[i]);
        }
    }
    let mut digest = [0; 32];
    for (i, word) in h.iter().enumerate() {
        digest[4 * i..4 * i + 4].copy_from_slice(&word.to_be_bytes());
    }
    digest
}

pub fn hmac_sha256(key: &[u8], data: &[u8]) -> [u8; 32] {
    let mut block = [0u8; 64];
    block[..key.len()].copy_from_slice(key);
    let pad = |byte: u8| -> Vec<u8> { block.iter().map(|b| b ^ byte).collect() };
    let inner = sha256(&[pad(0x36), data.to_vec()].concat());
    sha256(&[pad(0x5c), inner.to_vec()].concat())
}

pub fn base64(data: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in data.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let digit = SET[(n >> (18 - 6 * i)) as usize & 63] as char;
            text.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
