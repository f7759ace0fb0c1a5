//! Runs the gateway as a child process on loopback, with stub workers and portals.
#![allow(dead_code, missing_docs)]

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

pub mod administration;
pub mod by_hand;
pub mod signed;

/// The limit for every wait. Only a gateway that hangs makes a test fail by this limit.
pub const PATIENCE: Duration = Duration::from_secs(30);

static NEXT_FOLDER: AtomicUsize = AtomicUsize::new(0);

pub fn settings(deadline_ms: f64) -> Value {
    let class = |name: &str, repeat: &str| {
        json!({ "name": name, "repeat": repeat, "aimMs": deadline_ms / 2.0, "hardLimitMs": deadline_ms,
                "worth": 1.0, "lateWorth": 0.3, "group": "all", "dedupWindowMs": 5000.0 })
    };
    json!({
        "groupSize": 1, "me": 0, "zone": 0, "tickMs": 4.0, "dcs": ["north", "south"],
        "services": [class("disponibilidad", "read_like"), class("confirmar-traslado", "non_idempotent")],
        "orgs": [{ "name": "franq-bajio", "quotaPerS": 0.0, "fraction": 1.0 }],
        "caps": { "mostTries": 3, "cancel": true, "connectTimeoutMs": 250.0, "connIdleMs": 30000.0,
                  "streamsPerConn": 100, "mostHeld": 20000, "maxRetryAfterMs": 500.0 },
        "familyInfo": { "onMiss": "miss", "mayLoad": true, "keepMs": 8000.0, "orderLimitMs": 10000.0,
                        "marksCold": true },
        "obligations": { "graceToAnswerMs": 16.0, "drainGraceMs": 1000.0 },
        "report": { "via": "inline", "fields": ["rif", "x1", "x0"] },
    })
}

pub fn endpoint(name: &str, address: SocketAddr, status: &str) -> Value {
    json!({ "name": name, "address": address.to_string(), "zone": "north", "type": "std", "group": 0,
            "status": status, "weight": 4, "since_ms": 0 })
}

pub struct Gateway {
    child: Child,
    lines: mpsc::Receiver<String>,
    pub folder: PathBuf,
    shares_folder: bool,
    /// The log lines that were skipped while the test waited for another line.
    startup_log: String,
    pub platform: SocketAddr,
    pub webhooks: Option<SocketAddr>,
    pub admin: Option<SocketAddr>,
    pub line: Option<SocketAddr>,
}

impl Gateway {
    /// Starts the gateway on ports that the system assigns.
    pub fn start(
        settings: &Value,
        workers: &[Value],
        board: Option<SocketAddr>,
        operator: Option<&str>,
    ) -> Gateway {
        Gateway::start_with(settings, workers, board, operator, (1024, 1024))
    }

    /// Starts the gateway with `limits`: the configured number of sockets and the process limit on
    /// open files.
    pub fn start_with(
        settings: &Value,
        workers: &[Value],
        board: Option<SocketAddr>,
        operator: Option<&str>,
        limits: (usize, usize),
    ) -> Gateway {
        Gateway::launch(settings, workers, board, operator, limits, &[])
    }

    /// Starts the gateway with a second address (`RELAY_ADMIN_ADDR`).
    pub fn start_daily(settings: &Value, workers: &[Value], board: Option<SocketAddr>) -> Gateway {
        let second = [("RELAY_ADMIN_ADDR", "127.0.0.1:0")];
        Gateway::launch(settings, workers, board, None, (1024, 1024), &second)
    }

    /// Starts the gateway with a limit on memory in MB, many descriptors and a second address.
    pub fn start_with_memory(settings: &Value, workers: &[Value], memory_mb: u64) -> Gateway {
        const DESCRIPTORS: usize = 4096;
        let folder = Gateway::configure(settings, workers, None, DESCRIPTORS);
        let path = folder.join("config.json");
        let text = std::fs::read_to_string(&path).expect("a file");
        let mut config: Value = serde_json::from_str(&text).expect("JSON");
        config["limits"]["memory_mb"] = json!(memory_mb);
        std::fs::write(path, config.to_string()).expect("a file");
        let second = [("RELAY_ADMIN_ADDR", "127.0.0.1:0")];
        Gateway::spawn(folder, None, DESCRIPTORS, &second, None)
    }

    /// The process's highest resident memory so far, in bytes.
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()))
            .expect("the process is running");
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.expect("a figure") * 1024
    }

    pub fn launch(
        settings: &Value,
        workers: &[Value],
        board: Option<SocketAddr>,
        operator: Option<&str>,
        (sockets, files): (usize, usize),
        variables: &[(&str, &str)],
    ) -> Gateway {
        let folder = Gateway::configure(settings, workers, board, sockets);
        Gateway::spawn(folder, operator, files, variables, None)
    }

    /// Creates a folder with a configuration file.
    fn configure(
        settings: &Value,
        workers: &[Value],
        board: Option<SocketAddr>,
        sockets: usize,
    ) -> PathBuf {
        let n = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let folder =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{n}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let known = json!({ "rev": 1, "notices": [
            { "rev": 1, "pool": { "index": 1, "snapshot": true, "endpoints": workers } } ] });
        let config = json!({ "name": "g0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "known": known,
            "limits": { "cores": 1.0, "memory_mb": 192, "sockets": sockets },
            "board": board.map_or(String::new(), |b| b.to_string()), "settings": settings });
        std::fs::write(folder.join("config.json"), config.to_string()).expect("a file");
        folder
    }

    /// Starts a process that inherits the clients' listening socket as descriptor 7. It shares the
    /// configuration and the folder of the gateway `beside`, if given.
    pub fn start_with_socket(
        socket: &TcpListener,
        workers: &[Value],
        beside: Option<&Gateway>,
    ) -> Gateway {
        let folder = match beside {
            Some(g) => g.folder.clone(),
            None => Gateway::configure(&settings(2500.0), workers, None, 1024),
        };
        let tmp = folder.join("tmp");
        std::fs::create_dir_all(&tmp).expect("a folder");
        let tmp = tmp.display().to_string();
        let variables = [
            ("RELAY_ADMIN_ADDR", "127.0.0.1:0"),
            ("RELAY_FD", "7"),
            ("TMPDIR", tmp.as_str()),
        ];
        Gateway::spawn(folder, None, 1024, &variables, Some(socket))
    }

    /// Starts a gateway with this name whose operator's file is in a folder that it shares with other
    /// gateways. The folder stays.
    pub fn start_named(
        name: &str,
        folder: &std::path::Path,
        settings: &Value,
        workers: &[Value],
        operator: &str,
    ) -> Gateway {
        let configured = Gateway::configure(settings, workers, None, 1024);
        let config = folder.join(format!("config-{name}.json"));
        std::fs::rename(configured.join("config.json"), &config).expect("a file");
        std::fs::remove_dir(configured).expect("an empty folder");
        let config = config.display().to_string();
        let variables = [("RELAY_NAME", name), ("RELAY_CONFIG", config.as_str())];
        let mut g = Gateway::spawn(folder.into(), Some(operator), 1024, &variables, None);
        g.shares_folder = true;
        g
    }

    /// Starts a process with an inherited socket in a folder that contains a configuration. Returns
    /// its log up to the listening address, and the gateway.
    pub fn start_in_folder(socket: &TcpListener, folder: &std::path::Path) -> (String, Gateway) {
        let tmp = folder.join("tmp").display().to_string();
        let variables = [
            ("RELAY_ADMIN_ADDR", "127.0.0.1:0"),
            ("RELAY_FD", "7"),
            ("TMPDIR", tmp.as_str()),
        ];
        let mut g = Gateway::spawn(folder.into(), None, 1024, &variables, Some(socket));
        (std::mem::take(&mut g.startup_log), g)
    }

    /// Counts the other live processes of this gateway by their lock files.
    pub fn live_siblings(&self) -> usize {
        let folder = self.folder.join("tmp/molelug-handover");
        let own = format!("{}.", self.pid());
        let names = std::fs::read_dir(folder)
            .expect("a folder")
            .filter_map(|f| f.ok()?.file_name().into_string().ok());
        names
            .filter(|n| n.ends_with(".lock") && !n.starts_with(&own))
            .count()
    }

    fn spawn(
        folder: PathBuf,
        operator: Option<&str>,
        files: usize,
        variables: &[(&str, &str)],
        socket: Option<&TcpListener>,
    ) -> Gateway {
        let mut command = Command::new("/bin/sh");
        let redirect = if socket.is_some() {
            "exec 7<&0 </dev/null && "
        } else {
            ""
        };
        let line = format!("{redirect}ulimit -n {files} && exec \"$0\" \"$@\"");
        command.args(["-c", line.as_str(), env!("CARGO_BIN_EXE_molelug"), "serve"]);
        command
            .env("RELAY_CONFIG", folder.join("config.json"))
            .env("RELAY_NAME", "g0");
        command
            .env("RELAY_LISTEN", "127.0.0.1:0")
            .stderr(Stdio::piped())
            .stdin(Stdio::null());
        command.envs(variables.iter().copied());
        if let Some(socket) = socket {
            // Standard input passes the descriptor to the child without unsafe code.
            command.stdin(std::os::fd::OwnedFd::from(
                socket.try_clone().expect("a descriptor"),
            ));
        }
        if let Some(text) = operator {
            std::fs::write(folder.join("operator.toml"), text).expect("a file");
            command.arg("--operator").arg(folder.join("operator.toml"));
        }
        let mut child = command.spawn().expect("the process starts");
        let (sender, lines) = mpsc::channel();
        let errors = BufReader::new(child.stderr.take().expect("the log"));
        std::thread::spawn(move || {
            errors
                .lines()
                .map_while(Result::ok)
                .all(|l| sender.send(l).is_ok())
        });
        let unspecified = ([0, 0, 0, 0], 0).into();
        let mut g = Gateway {
            child,
            lines,
            folder,
            shares_folder: socket.is_some(),
            startup_log: String::new(),
            platform: unspecified,
            webhooks: None,
            admin: None,
            line: None,
        };
        g.platform = g.listener("listens on ");
        if operator.is_some_and(|t| t.contains("[webhooks]")) {
            g.webhooks = Some(g.listener("takes webhooks on "));
        }
        if operator.is_some_and(|t| t.contains("[admin]")) {
            g.admin = Some(g.listener("is administered on "));
        }
        if variables
            .iter()
            .any(|(name, _)| *name == "RELAY_ADMIN_ADDR")
        {
            g.line = Some(g.listener("is asked line by line on "));
        }
        g
    }

    /// Replaces the configuration file atomically, without a signal to the gateway.
    pub fn replace_config(&self, change: impl FnOnce(String) -> String) {
        let path = self.folder.join("config.json");
        let text = change(std::fs::read_to_string(&path).expect("a file"));
        std::fs::write(self.folder.join("new.json"), text).expect("a file");
        std::fs::rename(self.folder.join("new.json"), path).expect("a file");
    }

    /// Sends bytes to the second address and returns everything up to the end of the connection.
    pub fn ask(&self, bytes: &[u8]) -> String {
        let mut s = TcpStream::connect(self.line.expect("a second address"))
            .expect("the address accepts connections");
        s.set_read_timeout(Some(PATIENCE)).expect("a timeout");
        s.write_all(bytes)
            .and_then(|()| s.shutdown(Shutdown::Write))
            .expect("the peer reads");
        let mut all = String::new();
        s.read_to_string(&mut all).expect("a response and a close");
        all
    }

    /// Reads one metric from the second address.
    pub fn figure(&self, name: &str) -> u64 {
        let all = self.ask(b"telemetry\n");
        let line = all
            .lines()
            .find_map(|l| l.strip_prefix(&format!("app.{name}:")));
        line.and_then(|l| l.split('|').next()?.parse().ok())
            .unwrap_or_else(|| panic!("no {name} in {all}"))
    }

    fn listener(&mut self, what: &str) -> SocketAddr {
        let line = self.line(what);
        line.rsplit(' ')
            .next()
            .and_then(|a| a.parse().ok())
            .expect("an address")
    }

    /// Waits for the next log line that contains the text.
    pub fn line(&mut self, what: &str) -> String {
        loop {
            let line = self
                .lines
                .recv_timeout(PATIENCE)
                .unwrap_or_else(|e| panic!("no '{what}' in its log: {e}"));
            if line.contains(what) {
                return line;
            }
            self.startup_log += &(line + "\n");
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: rustix::process::Signal) {
        let pid = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).expect("the process is running");
    }

    /// Stops the process with SIGSTOP and waits until it has stopped. It does nothing until
    /// [`Gateway::resume`].
    pub fn suspend(&self) {
        self.signal(rustix::process::Signal::STOP);
        until("the process is stopped", || {
            let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.pid()))
                .expect("the process is running");
            stat.rsplit(") ")
                .next()
                .is_some_and(|rest| rest.starts_with('T'))
        });
    }

    /// Continues the process with SIGCONT; its next turn handles everything that has arrived.
    pub fn resume(&self) {
        self.signal(rustix::process::Signal::CONT);
    }

    /// Counts the open descriptors of the process.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.pid()))
            .expect("the process is running")
            .count()
    }

    /// Kills the process with SIGKILL.
    pub fn kill(mut self) {
        self.child.kill().expect("the process is running");
        self.child.wait().expect("the process exits");
    }

    /// Sends SIGTERM and returns the counters that the process prints at exit.
    pub fn stop(self) -> Value {
        self.signal(rustix::process::Signal::TERM);
        self.end()
    }

    /// Waits for the exit after SIGTERM and returns the counters that the process prints.
    pub fn end(mut self) -> Value {
        let line = self.line("counters ");
        let status = self.child.wait().expect("the process exits");
        assert!(status.success(), "exit status {status}, not 0");
        serde_json::from_str(line.split_once("counters ").expect("counters").1).expect("JSON")
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        // Another process of the same gateway may still use the folder.
        if !self.shares_folder {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Waits until a condition holds. Panics after [`PATIENCE`].
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "never: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Reads until `length_of` returns the length of the first message, and returns that message.
pub fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    length_of: impl Fn(&[u8]) -> Option<usize>,
) -> Option<Vec<u8>> {
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    loop {
        if let Some(n) = length_of(buffer) {
            return Some(buffer.drain(..n).collect());
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(n) => buffer.extend(&chunk[..n]),
        }
    }
}

/// Returns the length of the first complete HTTP message with Content-Length.
pub fn http_length(bytes: &[u8]) -> Option<usize> {
    let head = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&bytes[..head]).to_ascii_lowercase();
    let length = text
        .lines()
        .find_map(|l| l.strip_prefix("content-length:")?.trim().parse().ok())
        .unwrap_or(0);
    (bytes.len() >= head + length).then_some(head + length)
}

/// Returns the length of the first complete RESP array.
pub fn resp_length(bytes: &[u8]) -> Option<usize> {
    molelug::worker::parse_array(bytes)
        .expect("RESP")
        .map(|array| array.size_bytes)
}

/// Sends one HTTP request on a new connection and returns status and body.
pub fn http(to: SocketAddr, head: &str, body: &[u8]) -> (u16, Vec<u8>) {
    let (head, body) = http_exchange(to, head, body);
    (head[9..12].parse().expect("a status"), body)
}

/// Sends a request; returns the response's head and body.
pub fn http_exchange(to: SocketAddr, head: &str, body: &[u8]) -> (String, Vec<u8>) {
    let mut s = TcpStream::connect(to).expect("the address accepts connections");
    let text = format!(
        "{head}\r\nHost: t\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    s.write_all(text.as_bytes())
        .and_then(|()| s.write_all(body))
        .expect("the peer reads");
    let answer = read_message(&mut s, &mut Vec::new(), http_length).expect("a response");
    let mut head = String::from_utf8_lossy(&answer).into_owned();
    let at = head.find("\r\n\r\n").expect("a head") + 4;
    head.truncate(at);
    (head, answer[at..].to_vec())
}

/// The reaction of a stub worker to a complete request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Does {
    Answer,
    /// Keeps the connection open and sends no reply.
    Silent,
    /// Closes the connection of the request, and the listener.
    Die,
}

/// A stub worker that has every function loaded and records the attempts it receives.
#[derive(Clone)]
pub struct Worker {
    pub address: SocketAddr,
    pub gos: Arc<Mutex<Vec<(String, String)>>>,
    does: Arc<Mutex<Does>>,
    dead: Arc<AtomicBool>,
}

impl Worker {
    pub fn start() -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let w = Worker {
            address,
            gos: Arc::default(),
            does: Arc::new(Mutex::new(Does::Answer)),
            dead: Arc::default(),
        };
        let this = w.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if this.dead.load(Ordering::SeqCst) {
                    return;
                }
                let this = this.clone();
                std::thread::spawn(move || this.serve(stream));
            }
        });
        w
    }

    pub fn set(&self, does: Does) {
        *self.does.lock().unwrap() = does;
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(message) = read_message(&mut stream, &mut buffer, resp_length) {
            let words = molelug::worker::parse_array(&message)
                .unwrap()
                .unwrap()
                .strings;
            let words: Vec<String> = words
                .iter()
                .map(|w| String::from_utf8_lossy(w).into_owned())
                .collect();
            let answer: Vec<&[u8]> = match words[0].as_str() {
                "go" => {
                    self.gos
                        .lock()
                        .unwrap()
                        .push((words[1].clone(), words[2].clone()));
                    match *self.does.lock().unwrap() {
                        Does::Answer => vec![words[1].as_bytes(), b"200", b"remark=w", b"done"],
                        Does::Silent => continue,
                        Does::Die => {
                            self.dead.store(true, Ordering::SeqCst);
                            let _ = stream.shutdown(Shutdown::Both);
                            // Wakes the accept loop, which then closes the listener.
                            let _ = TcpStream::connect(self.address);
                            return;
                        }
                    }
                }
                "stage" => vec![words[1].as_bytes(), b"200", b"copies=1"],
                _ => continue,
            };
            if stream
                .write_all(&molelug::worker::encode_array(&answer))
                .is_err()
            {
                return;
            }
        }
    }
}

/// A callback delivery as the portal received it.
#[derive(Clone, Debug)]
pub struct Delivery {
    pub id: String,
    pub signed: bool,
    pub call: String,
    pub outcome: String,
}

/// A stub portal that records its callbacks.
#[derive(Clone)]
pub struct Portal {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Delivery>>>,
    /// The number of further deliveries to read completely and then close without a response.
    pub drops: Arc<AtomicUsize>,
}

impl Portal {
    pub fn start(key: &'static [u8]) -> Portal {
        Portal::on(TcpListener::bind("127.0.0.1:0").expect("a port"), key)
    }

    pub fn on(listener: TcpListener, key: &'static [u8]) -> Portal {
        let address = listener.local_addr().expect("an address");
        let portal = Portal {
            address,
            seen: Arc::default(),
            drops: Arc::default(),
        };
        let this = portal.clone();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let this = this.clone();
                std::thread::spawn(move || {
                    let Some(m) = read_message(&mut stream, &mut Vec::new(), http_length) else {
                        return;
                    };
                    this.seen.lock().unwrap().push(delivery(&m, key));
                    let drop = this
                        .drops
                        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1));
                    if drop.is_err() {
                        let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
                    }
                });
            }
        });
        portal
    }

    pub fn count(&self) -> usize {
        self.seen.lock().unwrap().len()
    }

    /// Returns the deliveries grouped by the call that they answer.
    pub fn by_call(&self) -> BTreeMap<String, Vec<Delivery>> {
        let mut map: BTreeMap<String, Vec<Delivery>> = BTreeMap::new();
        for d in self.seen.lock().unwrap().iter() {
            map.entry(d.call.clone()).or_default().push(d.clone());
        }
        map
    }
}

/// Computes a webhook signature from the specification, independently of the gateway's code.
pub fn signature(key: &[u8], id: &str, timestamp: &str, body: &[u8]) -> String {
    use base64::prelude::{Engine, BASE64_STANDARD};
    use hmac::{KeyInit, Mac};
    let mut mac = hmac::Hmac::<sha2::Sha256>::new_from_slice(key).expect("a key");
    mac.update(&[id.as_bytes(), b".", timestamp.as_bytes(), b".", body].concat());
    format!("v1,{}", BASE64_STANDARD.encode(mac.finalize().into_bytes()))
}

fn delivery(message: &[u8], key: &[u8]) -> Delivery {
    let at = message
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .expect("a head")
        + 4;
    let head = String::from_utf8_lossy(&message[..at]).into_owned();
    let header = |name: &str| {
        let line = head
            .lines()
            .find(|l| l.to_ascii_lowercase().starts_with(&format!("{name}:")));
        line.and_then(|l| l.split_once(':'))
            .map_or(String::new(), |(_, v)| v.trim().to_owned())
    };
    let body: Value = serde_json::from_slice(&message[at..]).expect("JSON");
    let text = |v: &Value| v.as_str().unwrap_or_default().to_owned();
    let (id, stamp) = (header("webhook-id"), header("webhook-timestamp"));
    let good = signature(key, &id, &stamp, &message[at..]);
    Delivery {
        signed: header("webhook-signature").split(' ').any(|s| s == good),
        call: text(&body["data"]["call"]),
        outcome: text(&body["data"]["outcome"]),
        id,
    }
}
