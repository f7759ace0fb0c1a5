//! Runs a gateway as a child process: this program starts itself with the gateway's command line.

use std::io::{BufRead, BufReader, Error, Result};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, OnceLock};

use serde_json::{json, Value};

use super::{Worker, WAIT_TIMEOUT};

/// Name of the request class whose calls are safe to repeat.
pub const READ_CLASS: &str = "disponibilidad";
/// Name of the request class whose calls must never run twice.
pub const NON_IDEMPOTENT_CLASS: &str = "confirmar-traslado";

/// Path of the test bed's program. Tests set it, because their own executable has no `gateway`
/// command.
pub static PROGRAM: OnceLock<PathBuf> = OnceLock::new();

/// Name of the request class with an idempotency key; workers drop repeats for five seconds.
pub const KEYED_CLASS: &str = "traslado-con-clave";

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    child: Child,
    lines: mpsc::Receiver<String>,
    /// Log lines read so far.
    pub log: Vec<String>,
    /// Address for the platform's clients.
    pub platform: SocketAddr,
    /// Address for signed webhooks, if enabled.
    pub webhooks: Option<SocketAddr>,
    /// Address of the admin interface, if enabled.
    pub admin: Option<SocketAddr>,
}

/// Returns the decision module's settings for a small site with one class of each repeat rule.
pub fn settings(deadline_ms: f64) -> Value {
    let class = |name: &str, repeat: &str| {
        json!({ "name": name, "repeat": repeat, "aimMs": deadline_ms / 2.0, "hardLimitMs": deadline_ms,
                "worth": 1.0, "lateWorth": 0.3, "group": "all", "dedupWindowMs": 5000.0 })
    };
    json!({
        "groupSize": 1, "me": 0, "zone": 0, "tickMs": 4.0, "dcs": ["north"],
        "services": [class(READ_CLASS, "read_like"), class(NON_IDEMPOTENT_CLASS, "non_idempotent"), class(KEYED_CLASS, "idempotency_key")],
        "orgs": [{ "name": "franq-bajio", "quotaPerS": 0.0, "fraction": 1.0 }],
        "caps": { "mostTries": 3, "cancel": true, "connectTimeoutMs": 250.0, "connIdleMs": 30000.0,
                  "streamsPerConn": 100, "mostHeld": 20000, "maxRetryAfterMs": 500.0 },
        "familyInfo": { "onMiss": "miss", "mayLoad": true, "keepMs": 8000.0, "orderLimitMs": 10000.0,
                        "marksCold": true },
        "obligations": { "graceToAnswerMs": 16.0, "drainGraceMs": 1000.0 },
        "report": { "via": "inline", "fields": ["rif", "x1", "x0"] },
    })
}

/// A gateway's place in its group.
#[derive(Clone, Copy, Debug)]
pub struct GroupMember {
    /// The gateway's number, from 0.
    pub number: usize,
    /// The number of gateways.
    pub size: usize,
}

/// Default limit on a gateway's open sockets.
pub const DEFAULT_MAX_SOCKETS: usize = 1024;

/// Returns the configuration of a gateway in front of these workers.
fn config(workers: &[Worker], deadline_ms: f64, sockets: usize) -> Value {
    let addresses: Vec<SocketAddr> = workers.iter().map(|worker| worker.address).collect();
    config_of(&addresses, deadline_ms, sockets)
}

/// Returns the configuration of a gateway in front of the workers at these addresses.
fn config_of(workers: &[SocketAddr], deadline_ms: f64, sockets: usize) -> Value {
    let endpoint = |(i, address): (usize, &SocketAddr)| {
        json!({ "name": format!("s-0000000{i}"), "address": address.to_string(), "zone": "north",
                "type": "std", "group": 0, "status": "SERVING", "weight": 4, "since_ms": 0 })
    };
    let endpoints: Vec<Value> = workers.iter().enumerate().map(endpoint).collect();
    let known = json!({ "rev": 1, "notices": [
        { "rev": 1, "pool": { "index": 1, "snapshot": true, "endpoints": endpoints } } ] });
    json!({ "name": "lab", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "known": known,
        "limits": { "cores": 1.0, "memory_mb": 192, "sockets": sockets }, "settings": settings(deadline_ms) })
}

/// A temporary folder that is removed when the value is dropped.
#[derive(Debug)]
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    /// Creates a folder in the system's temporary directory, named after `name` and the process id.
    pub fn new(name: &str) -> Result<TempFolder> {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("molelug-{name}-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(TempFolder(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        // A failure leaves files in the temporary directory, which the system cleans.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns the command that runs a gateway: `program`, or else this program's `gateway` command.
pub fn command(program: Option<&Path>) -> Result<Command> {
    if let Some(program) = program {
        return Ok(Command::new(program));
    }
    let mut command = Command::new(match PROGRAM.get() {
        Some(program) => program.clone(),
        None => std::env::current_exe()?,
    });
    command.arg("gateway");
    Ok(command)
}

impl Gateway {
    /// Starts a gateway with its files in `folder`; the files outlive a restart.
    pub fn start(
        folder: &Path,
        workers: &[Worker],
        operator: &str,
        deadline_ms: f64,
    ) -> Result<Gateway> {
        Gateway::start_program(None, folder, workers, operator, deadline_ms)
    }

    /// Starts a gateway like [`Gateway::start`], with `program` if one is given.
    pub fn start_program(
        program: Option<&Path>,
        folder: &Path,
        workers: &[Worker],
        operator: &str,
        deadline_ms: f64,
    ) -> Result<Gateway> {
        std::fs::write(
            folder.join("config.json"),
            config(workers, deadline_ms, DEFAULT_MAX_SOCKETS).to_string(),
        )?;
        std::fs::write(folder.join("operator.toml"), operator)?;
        Gateway::run(program, folder, operator)
    }

    /// Starts a gateway with this name in front of the workers at these addresses. Its operator's
    /// file is in `folder`, which it may share with others.
    pub fn start_as(
        name: &str,
        folder: &Path,
        workers: &[SocketAddr],
        operator: &str,
        deadline_ms: f64,
    ) -> Result<Gateway> {
        let alone = GroupMember { number: 0, size: 1 };
        Gateway::start_member(name, folder, workers, operator, deadline_ms, alone)
    }

    /// Starts a gateway like [`Gateway::start_as`] as a member of a group.
    pub fn start_member(
        name: &str,
        folder: &Path,
        workers: &[SocketAddr],
        operator: &str,
        deadline_ms: f64,
        member: GroupMember,
    ) -> Result<Gateway> {
        let config = folder.join(format!("config-{name}.json"));
        let mut settings = config_of(workers, deadline_ms, DEFAULT_MAX_SOCKETS);
        settings["settings"]["groupSize"] = json!(member.size);
        settings["settings"]["me"] = json!(member.number);
        std::fs::write(&config, settings.to_string())?;
        std::fs::write(folder.join("operator.toml"), operator)?;
        let mut command = Gateway::command(None, folder, None, None)?;
        command.env("RELAY_CONFIG", config).env("RELAY_NAME", name);
        Gateway::spawn(command, operator)
    }

    /// Starts a gateway without webhooks, with a gossip file if one is given.
    pub fn start_with_gossip(
        folder: &Path,
        workers: &[Worker],
        gossip: Option<&Path>,
    ) -> Result<Gateway> {
        std::fs::write(
            folder.join("config.json"),
            config(workers, 900.0, DEFAULT_MAX_SOCKETS).to_string(),
        )?;
        std::fs::write(folder.join("operator.toml"), "")?;
        Gateway::run_with(None, folder, "", gossip, None)
    }

    /// Starts a gateway without webhooks as a participant of the consensus group in the `council`
    /// file. `without` names a guard to disable.
    pub fn start_with_consensus(
        folder: &Path,
        workers: &[Worker],
        council: &Path,
        without: Option<&str>,
        operator: &str,
        sockets: usize,
    ) -> Result<Gateway> {
        std::fs::write(
            folder.join("config.json"),
            config(workers, 900.0, sockets).to_string(),
        )?;
        std::fs::write(folder.join("operator.toml"), operator)?;
        Gateway::run_with(None, folder, operator, None, Some((council, without)))
    }

    /// Starts a gateway with webhooks as a participant of a consensus group. It replicates shards
    /// if a `copies` file is given, aborts at the step `ends_at` once the file `armed` exists, and
    /// cannot write files larger than `most_kib` KiB.
    #[allow(clippy::too_many_arguments)]
    pub fn start_with_replication(
        folder: &Path,
        workers: &[Worker],
        council: &Path,
        copies: Option<&Path>,
        without: Option<&str>,
        ends_at: Option<&str>,
        most_kib: Option<u64>,
        operator: &str,
    ) -> Result<Gateway> {
        std::fs::write(
            folder.join("config.json"),
            config(workers, 3_000.0, DEFAULT_MAX_SOCKETS).to_string(),
        )?;
        std::fs::write(folder.join("operator.toml"), operator)?;
        let mut command = Gateway::command(None, folder, None, Some((council, without)))?;
        if let Some(kib) = most_kib {
            // Writes beyond the file size limit fail, as on a full disk.
            let mut limited = Command::new("sh");
            limited
                .args(["-c", "trap '' XFSZ; ulimit -f $0; exec \"$@\""])
                .arg((2 * kib).to_string());
            limited.arg(command.get_program()).args(command.get_args());
            for (name, value) in command.get_envs() {
                match value {
                    Some(value) => limited.env(name, value),
                    None => limited.env_remove(name),
                };
            }
            command = limited;
        }
        if let Some(copies) = copies {
            command.arg("--copies").arg(copies);
        }
        if let Some(step) = ends_at {
            command
                .env("MOLELUG_ENDS_AT", step)
                .env("MOLELUG_ENDS_IF", folder.join("armed"));
        }
        Gateway::spawn(command, operator)
    }

    /// Starts a gateway on the files that exist in a folder.
    pub fn restart(folder: &Path, operator: &str) -> Result<Gateway> {
        Gateway::run(None, folder, operator)
    }

    fn run(program: Option<&Path>, folder: &Path, operator: &str) -> Result<Gateway> {
        Gateway::run_with(program, folder, operator, None, None)
    }

    fn run_with(
        program: Option<&Path>,
        folder: &Path,
        operator: &str,
        gossip: Option<&Path>,
        council: Option<(&Path, Option<&str>)>,
    ) -> Result<Gateway> {
        Gateway::spawn(
            Gateway::command(program, folder, gossip, council)?,
            operator,
        )
    }

    fn command(
        program: Option<&Path>,
        folder: &Path,
        gossip: Option<&Path>,
        council: Option<(&Path, Option<&str>)>,
    ) -> Result<Command> {
        let mut command = command(program)?;
        command
            .args(["serve", "--operator"])
            .arg(folder.join("operator.toml"));
        if let Some(gossip) = gossip {
            command.arg("--gossip").arg(gossip);
        }
        if let Some((council, without)) = council {
            command
                .arg("--council")
                .arg(council)
                .env("MOLELUG_WITHOUT", without.unwrap_or_default());
        }
        command
            .env("RELAY_CONFIG", folder.join("config.json"))
            .env_remove("RELAY_NAME")
            .env_remove("RELAY_LISTEN");
        Ok(command)
    }

    /// Starts a gateway from the files in `folder` without webhooks, and does not wait until it
    /// listens.
    pub fn spawn_unready(folder: &Path) -> Result<Gateway> {
        Gateway::launch(Gateway::command(None, folder, None, None)?)
    }

    fn spawn(command: Command, operator: &str) -> Result<Gateway> {
        let mut g = Gateway::launch(command)?;
        g.platform = g.listener("listens on ")?;
        if operator.contains("[webhooks]") {
            g.webhooks = Some(g.listener("takes webhooks on ")?);
        }
        if operator.contains("[admin]") {
            g.admin = Some(g.listener("is administered on ")?);
        }
        Ok(g)
    }

    fn launch(mut command: Command) -> Result<Gateway> {
        let mut child = command
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let errors = child
            .stderr
            .take()
            .ok_or_else(|| Error::other("the gateway's standard error is not captured"))?;
        let (sender, lines) = mpsc::channel();
        std::thread::spawn(move || {
            BufReader::new(errors)
                .lines()
                .map_while(Result::ok)
                .all(|l| sender.send(l).is_ok())
        });
        let platform = ([0, 0, 0, 0], 0).into();
        Ok(Gateway {
            child,
            lines,
            log: Vec::new(),
            platform,
            webhooks: None,
            admin: None,
        })
    }

    fn listener(&mut self, what: &str) -> Result<SocketAddr> {
        let line = self.wait_for_log_line(what)?;
        let address = line.rsplit(' ').next().and_then(|a| a.parse().ok());
        address.ok_or_else(|| Error::other(format!("no address in the log line '{line}'")))
    }

    /// Waits for the next log line that contains `what`.
    pub fn wait_for_log_line(&mut self, what: &str) -> Result<String> {
        loop {
            let line = self.lines.recv_timeout(WAIT_TIMEOUT).map_err(|_| {
                Error::other(format!(
                    "no line with '{what}' in the gateway's log: {}",
                    self.log.join(" | ")
                ))
            })?;
            self.log.push(line.clone());
            if line.contains(what) {
                return Ok(line);
            }
        }
    }

    /// Returns the process id.
    pub fn pid(&self) -> rustix::process::Pid {
        rustix::process::Pid::from_child(&self.child)
    }

    /// Returns the processor time used so far.
    pub fn cpu_time(&self) -> Result<std::time::Duration> {
        crate::rate::processor_of(self.pid())
    }

    /// Suspends the process with SIGSTOP; it keeps its memory and connections.
    pub fn suspend(&self) -> Result<()> {
        Ok(rustix::process::kill_process(
            self.pid(),
            rustix::process::Signal::STOP,
        )?)
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) -> Result<()> {
        Ok(rustix::process::kill_process(
            self.pid(),
            rustix::process::Signal::CONT,
        )?)
    }

    /// Sends SIGHUP, on which the gateway reloads its files.
    pub fn reload(&self) -> Result<()> {
        Ok(rustix::process::kill_process(
            self.pid(),
            rustix::process::Signal::HUP,
        )?)
    }

    /// Sends SIGTERM without waiting for the exit.
    pub fn terminate(&self) -> Result<()> {
        Ok(rustix::process::kill_process(
            self.pid(),
            rustix::process::Signal::TERM,
        )?)
    }

    /// Waits until the process has exited.
    pub fn wait(&mut self) -> Result<()> {
        self.child.wait()?;
        Ok(())
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }

    /// Sends SIGKILL and waits for the exit.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Returns the current counters, which the gateway logs on SIGUSR1.
    pub fn counters(&mut self) -> Result<Value> {
        rustix::process::kill_process(self.pid(), rustix::process::Signal::USR1)?;
        let line = self.wait_for_log_line("counters ")?;
        let text = line.split_once("counters ").map_or("", |(_, t)| t);
        serde_json::from_str(text).map_err(Error::other)
    }

    /// Returns the current figures of the event loop, which the gateway logs after the counters.
    pub fn loop_figures(&mut self) -> Result<Value> {
        let line = self.wait_for_log_line("loop_figures ")?;
        let text = line.split_once("loop_figures ").map_or("", |(_, t)| t);
        serde_json::from_str(text).map_err(Error::other)
    }

    /// Sends SIGTERM, waits for the exit and returns the counters that the gateway logs.
    pub fn stop(&mut self) -> Result<Value> {
        rustix::process::kill_process(self.pid(), rustix::process::Signal::TERM)?;
        let line = self.wait_for_log_line("counters ")?;
        let status = self.child.wait()?;
        if !status.success() {
            return Err(Error::other(format!("the gateway exited with {status}")));
        }
        let text = line.split_once("counters ").map_or("", |(_, t)| t);
        serde_json::from_str(text).map_err(Error::other)
    }

    /// Returns the resident memory in KiB; 0 if unknown.
    pub fn memory_kib(&self) -> u64 {
        self.status_kib("VmRSS:")
    }

    /// Returns the highest resident memory so far in bytes; 0 if unknown.
    pub fn peak_memory(&self) -> u64 {
        self.status_kib("VmHWM:") * 1024
    }

    fn status_kib(&self, field: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix(field));
        line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse().ok())
            .unwrap_or(0)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
