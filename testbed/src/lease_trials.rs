//! Lease trials (`owners`): real gateway processes that share duties over failing links, in rounds
//! drawn from seeds. A checker judges each round by the recorded histories.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Error, Read, Result, Seek, SeekFrom, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use base64::prelude::{Engine, BASE64_STANDARD};
use rand_chacha::rand_core::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fakes::gateway::{command, TempFolder, DEFAULT_MAX_SOCKETS, READ_CLASS};
use crate::fakes::{status, Caller, Gateway, Worker, WAIT_TIMEOUT};
use crate::fault_proxy::{Direction, Faults, Link};
use crate::history::{self, Line, Note};

/// Default lease duration of a round in milliseconds.
pub const LEASE_MS: u64 = 600;
/// Tick of the voters in milliseconds.
pub const TICK_MS: u64 = 20;

/// Number of callers of each instance, and so of calls that can be at a silent worker at once.
const CALLERS: u64 = 3;

/// Duty whose owner the rounds observe.
pub const OBSERVED_DUTY: &str = "trials";

/// Returns the name of an instance.
pub fn instance_name(n: usize) -> String {
    format!("gw-{n}")
}

/// Configuration of a fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Number of instances.
    pub instances: usize,
    /// Number of voters, the first instances.
    pub voters: usize,
    /// Number of instances after the voters that have a seat and could become voters.
    pub spare_seats: usize,
    /// Additional duties, which have owners but no work.
    pub extra_duties: Vec<String>,
    /// Whether the instances take part in consensus.
    pub consensus: bool,
    /// Safety check to disable, in builds that support it.
    pub disabled_guard: Option<String>,
    /// Lease duration in milliseconds.
    pub lease_ms: u64,
    /// Limit on open file descriptors of each instance.
    pub max_descriptors: usize,
}

impl Default for FleetConfig {
    fn default() -> FleetConfig {
        FleetConfig {
            instances: 5,
            voters: 5,
            spare_seats: 0,
            extra_duties: Vec::new(),
            consensus: true,
            disabled_guard: None,
            lease_ms: LEASE_MS,
            max_descriptors: DEFAULT_MAX_SOCKETS,
        }
    }
}

/// A note read from a history, with its instance and process.
#[derive(Clone, Debug)]
pub struct ObservedNote {
    /// Instance that recorded the note.
    pub instance: usize,
    /// Time of the note in microseconds since the machine's start.
    pub at: u64,
    /// Number of the process that recorded the note.
    pub process: u64,
    /// Recorded event.
    pub note: Note,
}

/// A running fleet with its workers, links and callers.
#[derive(Debug)]
pub struct Fleet {
    /// Gateway processes by instance; `None` while an instance is down.
    pub gateways: Vec<Option<Gateway>>,
    /// Workers that the gateways call.
    pub workers: Vec<Worker>,
    /// Links by (connecting instance, voter or seat).
    pub links: BTreeMap<(usize, usize), Link>,
    folder: TempFolder,
    operator: String,
    config: FleetConfig,
    read_offsets: Vec<u64>,
    /// All notes read so far.
    pub notes: Vec<ObservedNote>,
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Result<()>>>,
    /// Port of each gateway's platform front; 0 while the gateway is down.
    front_ports: Vec<Arc<AtomicU64>>,
}

/// Finds a free port below the ephemeral range, so that nothing else takes the port between the end
/// of a process and its next start.
pub(crate) fn free_port_address() -> Result<SocketAddr> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    for _ in 0..2_000 {
        let n = NEXT.fetch_add(1, Ordering::Relaxed) + u64::from(std::process::id()) * 97;
        let at: SocketAddr = ([127, 0, 0, 1], 20_000 + (n % 10_000) as u16).into();
        if TcpListener::bind(at).is_ok() {
            return Ok(at);
        }
    }
    Err(Error::other("no free port"))
}

impl Fleet {
    /// Creates the consensus group's files and starts all instances.
    pub fn start(config: FleetConfig, seed: u64) -> Result<Fleet> {
        let folder = TempFolder::new(&format!("owners-{seed}"))?;
        std::fs::create_dir_all(folder.0.join("history"))?;
        std::fs::write(
            folder.0.join("shared.keys"),
            BASE64_STANDARD.encode([7u8; 32]),
        )?;
        let operator = crate::fakes::admin::write(&folder.0)?;
        let listed = config.voters + config.spare_seats;
        let workers: Vec<Worker> = (0..6)
            .map(|_| Worker::start(Duration::from_millis(2), 0))
            .collect::<Result<_>>()?;
        let ports: Vec<SocketAddr> = (0..config.instances)
            .map(|_| free_port_address())
            .collect::<Result<_>>()?;
        let mut links = BTreeMap::new();
        for from in 0..config.instances {
            for (to, port) in ports
                .iter()
                .enumerate()
                .take(listed)
                .filter(|(to, _)| *to != from)
            {
                links.insert(
                    (from, to),
                    Link::stream(*port, seed ^ ((from as u64) << 8 | to as u64))?,
                );
            }
        }
        let names: Vec<String> = (0..config.voters).map(instance_name).collect();
        for (n, port) in ports.iter().enumerate() {
            let home = folder.0.join(instance_name(n));
            std::fs::create_dir_all(&home)?;
            let voters: String = (0..listed)
                .map(|to| {
                    let at = links.get(&(n, to)).map_or(*port, |l: &Link| l.address);
                    format!("{} = \"{at}\"\n", instance_name(to))
                })
                .collect();
            let seat = if n < listed { "seat = \"seat\"\n" } else { "" };
            let mut duties = vec![OBSERVED_DUTY.to_owned()];
            duties.extend(config.extra_duties.iter().cloned());
            let text = format!(
                "listen = \"{}\"\nname = \"{}\"\n{seat}duties = {duties:?}\nlease_ms = {}\ntick_ms = {TICK_MS}\n\
                 history = \"../history/{}.jsonl\"\nshared_keys = \"../shared.keys\"\n[voters]\n{voters}",
                port,
                instance_name(n),
                config.lease_ms,
                instance_name(n)
            );
            std::fs::write(home.join("council.toml"), text)?;
            if n < listed {
                create_seat(&home, if n < config.voters { &names } else { &[] })?;
            }
        }
        let none = || (0..config.instances).map(|_| None).collect();
        let front_ports = (0..config.instances).map(|_| Arc::default()).collect();
        let mut fleet = Fleet {
            gateways: none(),
            workers,
            links,
            folder,
            operator,
            read_offsets: vec![0; config.instances],
            config,
            notes: Vec::new(),
            stop: Arc::default(),
            callers: Vec::new(),
            front_ports,
        };
        for n in 0..fleet.config.instances {
            fleet.start_instance(n)?;
        }
        Ok(fleet)
    }

    /// Returns the folder of the histories.
    pub fn histories(&self) -> PathBuf {
        self.folder.0.join("history")
    }

    /// Returns the folder of one instance.
    pub fn home(&self, n: usize) -> PathBuf {
        self.folder.0.join(instance_name(n))
    }

    /// Starts an instance with the files in its folder.
    pub fn start_instance(&mut self, n: usize) -> Result<()> {
        let gateway = self.start_process(n)?;
        self.front_ports[n].store(u64::from(gateway.platform.port()), Ordering::Relaxed);
        self.gateways[n] = Some(gateway);
        Ok(())
    }

    /// Starts and returns another process of an instance with the same files; a process that
    /// already runs continues.
    pub fn start_process(&mut self, n: usize) -> Result<Gateway> {
        let home = self.home(n);
        if !self.config.consensus {
            return Gateway::start_with_gossip(&home, &self.workers, None);
        }
        let (file, without) = (
            home.join("council.toml"),
            self.config.disabled_guard.as_deref(),
        );
        Gateway::start_with_consensus(
            &home,
            &self.workers,
            &file,
            without,
            &self.operator,
            self.config.max_descriptors,
        )
    }

    /// Runs an operator command, such as `council show`, against an instance.
    pub fn run_command(&self, n: usize, what: &[&str]) -> Result<String> {
        let admin = self
            .gateway(n)?
            .admin
            .ok_or_else(|| Error::other("the instance has no administration interface"))?
            .to_string();
        let token = self.folder.0.join("svid").display().to_string();
        let at = ["--admin", &admin, "--token", &token];
        run_gateway_command(
            &what
                .iter()
                .chain(&at)
                .map(|s| (*s).to_owned())
                .collect::<Vec<_>>(),
        )
    }

    /// Writes new shared keys and has all instances reload them, one after the other. Consecutive
    /// key lists must overlap, so that instances one step apart understand each other.
    pub fn rotate_keys(&mut self, keys: &[u8]) -> Result<()> {
        let lines: Vec<String> = keys
            .iter()
            .map(|k| BASE64_STANDARD.encode([*k; 32]))
            .collect();
        std::fs::write(self.folder.0.join("shared.keys"), lines.join("\n"))?;
        for gateway in self.gateways.iter_mut().flatten() {
            gateway.reload()?;
            gateway.wait_for_log_line("consensus addresses and keys reloaded")?;
        }
        Ok(())
    }

    /// Kills an instance with SIGKILL.
    pub fn kill(&mut self, n: usize) -> Result<()> {
        self.front_ports[n].store(0, Ordering::Relaxed);
        self.gateways[n].take().map_or(Ok(()), |mut g| g.kill())
    }

    /// Returns the process of one instance.
    pub fn gateway(&self, n: usize) -> Result<&Gateway> {
        self.gateways[n]
            .as_ref()
            .ok_or_else(|| Error::other(format!("{} is down", instance_name(n))))
    }

    /// Sets the faults of all links of an instance: `outbound` for what the instance sends,
    /// `inbound` for what it receives.
    pub fn set_instance_faults(&self, n: usize, outbound: Faults, inbound: Faults) {
        for ((from, to), link) in &self.links {
            if *from == n {
                link.set(Direction::Forward, outbound);
                link.set(Direction::Reverse, inbound);
            } else if *to == n {
                link.set(Direction::Forward, inbound);
                link.set(Direction::Reverse, outbound);
            }
        }
    }

    /// Sets the same faults in both directions of all links.
    pub fn set_all_faults(&self, faults: Faults) {
        self.links.values().for_each(|l| l.set_both(faults));
    }

    /// Starts callers at every instance and records their responses as histories. Each worker in
    /// turn stops responding for a while, so that there is always a worker to probe.
    pub fn start_callers(&mut self) -> Result<()> {
        let (stop, workers) = (self.stop.clone(), self.workers.clone());
        self.callers.push(std::thread::spawn(move || {
            for n in (0..workers.len()).cycle() {
                workers[n].set_silent(true);
                for _ in 0..60 {
                    if stop.load(Ordering::Relaxed) {
                        return Ok(());
                    }
                    std::thread::sleep(Duration::from_millis(50));
                }
                workers[n].set_silent(false);
            }
            Ok(())
        }));
        let each = self
            .front_ports
            .iter()
            .enumerate()
            .flat_map(|(n, front_port)| (0..CALLERS).map(move |c| (n, c, front_port)));
        for (n, c, front_port) in each {
            let path = self.histories().join(format!("calls-{n}-{c}.jsonl"));
            let mut file = File::options().create(true).append(true).open(path)?;
            let (stop, front_port) = (self.stop.clone(), front_port.clone());
            self.callers.push(std::thread::spawn(move || {
                let mut calls = 0u64;
                let mut caller: Option<(u64, Caller)> = None;
                while !stop.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_millis(5));
                    let port = front_port.load(Ordering::Relaxed);
                    if port == 0 {
                        continue;
                    }
                    if caller.as_ref().is_none_or(|(p, _)| *p != port) {
                        caller = Some((port, Caller::new(([127, 0, 0, 1], port as u16).into())));
                    }
                    let Some((_, caller)) = &mut caller else {
                        continue;
                    };
                    let id = ((n as u64 + 1) << 56) | (c << 48) | calls;
                    let request = call_request(id, calls % 24);
                    calls += 1;
                    let status = caller
                        .exchange(request.as_bytes())
                        .map_or(0, |a| status(&a));
                    writeln!(file, "{{\"call\":{id},\"status\":{status}}}")?;
                }
                Ok(())
            }));
        }
        Ok(())
    }

    /// Reads the notes recorded since the last call.
    pub fn read_notes(&mut self) -> Result<()> {
        for n in 0..self.config.instances {
            let Ok(mut file) =
                File::open(self.histories().join(format!("{}.jsonl", instance_name(n))))
            else {
                continue;
            };
            file.seek(SeekFrom::Start(self.read_offsets[n]))?;
            let mut text = String::new();
            file.read_to_string(&mut text)?;
            let whole = text.rfind('\n').map_or(0, |end| end + 1);
            self.read_offsets[n] += whole as u64;
            for line in history::parse(&text[..whole])? {
                if let Line::Noted {
                    at, process, note, ..
                } = line
                {
                    self.notes.push(ObservedNote {
                        instance: n,
                        at,
                        process,
                        note,
                    });
                }
            }
        }
        Ok(())
    }

    /// Waits for a matching note at index `from` or later, and returns its index. The timeout only
    /// bounds the run; it is no requirement on the gateways.
    pub fn wait_for_note(
        &mut self,
        from: usize,
        what: &str,
        is: impl Fn(&ObservedNote) -> bool,
    ) -> Result<usize> {
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            self.read_notes()?;
            if let Some(at) = (from..self.notes.len()).find(|i| is(&self.notes[*i])) {
                return Ok(at);
            }
            if Instant::now() > end {
                let last = |n: usize| {
                    self.notes
                        .iter()
                        .rfind(|s| s.instance == n)
                        .map(|s| (s.at, &s.note))
                };
                let all: Vec<_> = (0..self.config.instances)
                    .map(|n| (instance_name(n), last(n)))
                    .collect();
                return Err(Error::other(format!(
                    "timed out waiting for {what}; last notes: {all:?}"
                )));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Returns the newest owner of the observed duty and its term, from the notes read so far.
    pub fn owner(&self) -> Option<(usize, u64)> {
        let began = |s: &ObservedNote| match &s.note {
            Note::Began { duty, term } if duty == OBSERVED_DUTY => Some((s.instance, *term)),
            _ => None,
        };
        self.notes
            .iter()
            .filter_map(began)
            .max_by_key(|(_, term)| *term)
    }

    /// Waits for an owner under a higher term. Returns the instance, the term and the note's index.
    pub fn wait_for_owner_after(&mut self, term: u64) -> Result<(usize, u64, usize)> {
        let is = |s: &ObservedNote| matches!(&s.note, Note::Began { duty, term: t } if duty == OBSERVED_DUTY && *t > term);
        let at = self.wait_for_note(0, "the next owner", is)?;
        let Note::Began { term, .. } = self.notes[at].note else {
            return Err(Error::other("no owner"));
        };
        Ok((self.notes[at].instance, term, at))
    }

    /// Waits until an instance has accepted an effect of the observed duty under this or a later
    /// term.
    pub fn wait_for_effect(&mut self, term: u64) -> Result<usize> {
        let is = |s: &ObservedNote| matches!(&s.note, Note::Accepted { duty, term: t, .. } if duty == OBSERVED_DUTY && *t >= term);
        self.wait_for_note(0, "an effect", is)
    }

    /// Stops callers and gateways, and checks the recorded histories.
    pub fn judge(mut self) -> Result<(history::EventCounts, Vec<history::Violation>)> {
        self.stop.store(true, Ordering::Relaxed);
        for caller in std::mem::take(&mut self.callers) {
            caller
                .join()
                .map_err(|_| Error::other("a caller failed"))??;
        }
        for gateway in self.gateways.iter_mut().flatten() {
            gateway.kill()?;
        }
        Ok(history::check(&history::read(&self.histories())?))
    }

    /// Copies the histories to a folder.
    pub fn copy_to(&self, folder: &Path) -> Result<()> {
        std::fs::create_dir_all(folder)?;
        for file in std::fs::read_dir(self.histories())? {
            let file = file?;
            std::fs::copy(file.path(), folder.join(file.file_name()))?;
        }
        Ok(())
    }
}

/// Creates the seat of a founder, or without founders that of a possible later voter, by the
/// operator command.
pub(crate) fn create_seat(home: &Path, founders: &[String]) -> Result<()> {
    let file = home.join("council.toml").display().to_string();
    let what = if founders.is_empty() { "seat" } else { "found" };
    let args = [
        &["council".to_owned(), what.into(), "--council".into(), file],
        founders,
    ]
    .concat();
    run_gateway_command(&args).map(|_| ())
}

/// Runs a command of the gateway program, and returns its standard output.
fn run_gateway_command(args: &[String]) -> Result<String> {
    let output = command(None)?.args(args).output()?;
    if output.status.success() {
        return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
    }
    Err(Error::other(format!(
        "{args:?}: {}",
        String::from_utf8_lossy(&output.stderr)
    )))
}

/// Result of one round.
#[derive(Clone, Debug, Default)]
pub struct Round {
    /// Injected faults, in order.
    pub faults: Vec<&'static str>,
    /// Each fault and the milliseconds from the fault to the next owner's start.
    pub gaps_ms: Vec<(&'static str, f64)>,
    /// Counts from the checked histories.
    pub counts: history::EventCounts,
}

const CUT: Faults = Faults {
    cut: true,
    drop_percent: 0,
    duplicate_percent: 0,
    reorder_percent: 0,
    delay_ms: 0,
    jitter_ms: 0,
    bytes_per_s: 0,
};

/// Returns the machine's time since boot in microseconds, the clock of the histories.
fn uptime() -> u64 {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    t.tv_sec as u64 * 1_000_000 + t.tv_nsec as u64 / 1_000
}

/// Runs one round and checks its histories; with `keep`, copies them to a folder there.
pub fn run_round(
    config: &FleetConfig,
    seed: u64,
    faults: usize,
    keep: Option<&Path>,
) -> Result<Round> {
    let mut fleet = Fleet::start(config.clone(), seed)?;
    let mut round = Round::default();
    let played = inject_faults(&mut fleet, config, seed, faults, &mut round);
    let kept = keep.map(|k| k.join(format!("seed-{seed}")));
    if let (Err(e), Some(kept)) = (&played, &kept) {
        fleet.copy_to(kept)?;
        return Err(Error::other(format!("{e}; faults {:?}", round.faults)));
    }
    played?;
    let copy = kept.as_ref().map(|k| fleet.copy_to(k)).transpose();
    let (counts, wrong) = fleet.judge()?;
    round.counts = counts;
    copy?;
    if let Some(first) = wrong.first() {
        return Err(Error::other(format!(
            "{first} ({} in all); faults {:?}",
            wrong.len(),
            round.faults
        )));
    }
    // A round without accepted effects or responses proves nothing.
    if round.counts.accepted == 0 || round.counts.answers == 0 {
        return Err(Error::other(format!(
            "nothing to judge: {:?}",
            round.counts
        )));
    }
    Ok(round)
}

fn inject_faults(
    fleet: &mut Fleet,
    config: &FleetConfig,
    seed: u64,
    faults: usize,
    round: &mut Round,
) -> Result<()> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    fleet.start_callers()?;
    let (mut owner, mut term, _) = fleet.wait_for_owner_after(0)?;
    fleet.wait_for_effect(term)?;
    for _ in 0..faults {
        let kind = random.next_u32() % 9;
        let started = uptime();
        let what = match kind {
            0 | 1 => {
                // Stops the owner past its lease, with calls and probes in progress; it continues
                // once another instance owns the duty.
                fleet.gateway(owner)?.suspend()?;
                "stopped"
            }
            2 => {
                fleet.kill(owner)?;
                "killed"
            }
            3 => {
                fleet.set_instance_faults(owner, CUT, Faults::default());
                "cut, nothing leaves it"
            }
            4 => {
                fleet.set_instance_faults(owner, Faults::default(), CUT);
                "cut, nothing comes to it"
            }
            5 => {
                fleet.set_instance_faults(owner, CUT, CUT);
                "cut off"
            }
            6 => {
                fleet.gateway(owner)?.terminate()?;
                "ended in order"
            }
            7 => {
                let faults = Faults {
                    drop_percent: 30,
                    duplicate_percent: 0,
                    jitter_ms: 30,
                    ..Faults::default()
                };
                fleet.set_all_faults(faults);
                fleet.gateway(owner)?.suspend()?;
                "stopped, with 30% of frames lost"
            }
            _ => {
                for n in 0..config.instances {
                    fleet.kill(n)?;
                }
                for n in 0..config.instances {
                    fleet.start_instance(n)?;
                }
                "all killed"
            }
        };
        round.faults.push(what);
        let (next, next_term, at) = fleet.wait_for_owner_after(term)?;
        round.gaps_ms.push((
            what,
            (fleet.notes[at].at.saturating_sub(started)) as f64 / 1e3,
        ));
        fleet.wait_for_effect(next_term)?;
        // Resumes, reconnects or restarts the old owner.
        match kind {
            0 | 1 | 7 => {
                let from = fleet.notes.len();
                fleet.gateway(owner)?.resume()?;
                let old = owner;
                let is = |s: &ObservedNote| {
                    s.instance == old
                        && matches!(&s.note, Note::Ended { term: t, .. } if *t == term)
                };
                // The old owner's lease may have ended before the process was stopped.
                if !fleet.notes[..from].iter().any(is) {
                    fleet.wait_for_note(from, "the end of the old lease", is)?;
                }
                fleet.set_all_faults(Faults::default());
            }
            2 => fleet.start_instance(owner)?,
            6 => {
                fleet.front_ports[owner].store(0, Ordering::Relaxed);
                if let Some(mut g) = fleet.gateways[owner].take() {
                    g.wait()?;
                }
                fleet.start_instance(owner)?;
            }
            3..=5 => fleet.set_all_faults(Faults::default()),
            _ => {}
        }
        (owner, term) = (next, next_term);
        // The next fault hits the current owner, which may have changed meanwhile.
        fleet.read_notes()?;
        if let Some((o, t)) = fleet.owner().filter(|(_, t)| *t > term) {
            (owner, term) = (o, t);
        }
    }
    fleet.wait_for_effect(term)?;
    Ok(())
}

/// Counts and latencies of calls.
#[derive(Debug)]
struct Calls {
    served: u64,
    all: u64,
    micros: hdrhistogram::Histogram<u64>,
}

/// Builds the request of an idempotent call.
fn call_request(id: u64, function: u64) -> String {
    format!(
        "POST /call/{function:016x}/trigger HTTP/1.1\r\nHost: lab\r\nX-Class: {READ_CLASS}\r\nX-Org: franq-bajio\r\n\
         X-Correlation-Id: {id:016x}\r\nX-Deadline-Ms: 900\r\nX-Extras: lanes:4\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Sends calls to some gateways for `seconds`, with four callers each.
fn measure_calls(fleet: &Fleet, gateways: &[usize], seconds: u64) -> Result<Calls> {
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for (n, c) in gateways
        .iter()
        .flat_map(|n| (0..4u64).map(move |c| (*n, c)))
    {
        let (to, stop) = (fleet.gateway(n)?.platform, stop.clone());
        callers.push(std::thread::spawn(move || -> Result<Calls> {
            let micros = hdrhistogram::Histogram::new(3).map_err(Error::other)?;
            let (mut caller, mut all) = (
                Caller::new(to),
                Calls {
                    served: 0,
                    all: 0,
                    micros,
                },
            );
            while !stop.load(Ordering::Relaxed) {
                let id =
                    (n as u64 + 1) << 52 | c << 48 | all.all | u64::from(std::process::id()) << 24;
                let started = Instant::now();
                let answer = caller.exchange(call_request(id, (all.all * 7 + c) % 24).as_bytes());
                all.all += 1;
                all.served += u64::from(answer.is_ok_and(|a| status(&a) == 200));
                all.micros
                    .record(started.elapsed().as_micros() as u64)
                    .map_err(Error::other)?;
                std::thread::sleep(Duration::from_millis(4));
            }
            Ok(all)
        }));
    }
    std::thread::sleep(Duration::from_secs(seconds));
    stop.store(true, Ordering::Relaxed);
    let micros = hdrhistogram::Histogram::new(3).map_err(Error::other)?;
    let mut sum = Calls {
        served: 0,
        all: 0,
        micros,
    };
    for caller in callers {
        let one = caller
            .join()
            .map_err(|_| Error::other("a caller failed"))??;
        (sum.served, sum.all) = (sum.served + one.served, sum.all + one.all);
        sum.micros.add(one.micros).map_err(Error::other)?;
    }
    Ok(sum)
}

/// `calls`: compares calls with consensus off, on and without a majority, in turns, at the same two
/// gateways.
pub fn calls(seconds: u64, turns: u64) -> Result<bool> {
    let off = Fleet::start(
        FleetConfig {
            consensus: false,
            ..FleetConfig::default()
        },
        1,
    )?;
    let mut on = Fleet::start(FleetConfig::default(), 2)?;
    let mut lost = Fleet::start(FleetConfig::default(), 3)?;
    on.wait_for_owner_after(0)?;
    let (owner, ..) = lost.wait_for_owner_after(0)?;
    let at = [owner, (owner + 1) % 5];
    for n in (0..5).filter(|n| !at.contains(n)) {
        lost.kill(n)?;
    }
    let mut sums: BTreeMap<&str, Vec<Calls>> = BTreeMap::new();
    for _ in 0..turns {
        for (what, fleet) in [("off", &off), ("on", &on), ("without a majority", &lost)] {
            sums.entry(what)
                .or_default()
                .push(measure_calls(fleet, &at, seconds)?);
        }
    }
    for (what, turns) in &sums {
        let (mut all, mut served) = (0, 0);
        let mut micros = hdrhistogram::Histogram::<u64>::new(3).map_err(Error::other)?;
        for t in turns {
            (all, served) = (all + t.all, served + t.served);
            micros.add(&t.micros).map_err(Error::other)?;
        }
        println!(
            "{what}: {all} calls, {:.3}% served, p50 {} us, p99 {} us, most {} us",
            100.0 * served as f64 / all.max(1) as f64,
            micros.value_at_quantile(0.5),
            micros.value_at_quantile(0.99),
            micros.max()
        );
    }
    Ok(true)
}

/// `gain`: compares the cost of a silent worker in a fleet without consensus and in one with the
/// duty `trials`, one fleet after the other.
pub fn gain(instances: usize, seconds: u64) -> Result<bool> {
    for council in [false, true] {
        let voters = instances.min(5);
        let mut fleet = Fleet::start(
            FleetConfig {
                consensus: council,
                instances,
                voters,
                ..FleetConfig::default()
            },
            4,
        )?;
        if council {
            fleet.wait_for_owner_after(0)?;
        }
        let all: Vec<usize> = (0..instances).collect();
        // Warms up the fleet, so that the copies are known before the measurement.
        measure_calls(&fleet, &all, 2)?;
        fleet.workers[0].set_silent(true);
        let met = measure_calls(&fleet, &all, seconds)?;
        let (pings, _, lost) = fleet.workers[0].request_counts();
        fleet.workers[0].set_silent(false);
        let after = measure_calls(&fleet, &all, seconds)?;
        let before = fleet.workers[0].runs.lock().map_or(0, |r| r.len());
        println!(
            "{}: while a worker is silent {:.3}% of {} calls served, {lost} calls sent to it, {pings} pings, p99 {} us; \
             afterwards {:.3}% of {}, it ran {before}",
            if council { "with trials" } else { "without" },
            100.0 * met.served as f64 / met.all.max(1) as f64,
            met.all,
            met.micros.value_at_quantile(0.99),
            100.0 * after.served as f64 / after.all.max(1) as f64,
            after.all
        );
    }
    Ok(true)
}

fn percentile(sorted: &[f64], p: f64) -> f64 {
    let at = ((sorted.len() as f64 * p).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(at).copied().unwrap_or(0.0)
}

/// `owners`: runs rounds with consecutive seeds and prints their results.
pub fn run(
    config: &FleetConfig,
    rounds: u64,
    seed: u64,
    faults: usize,
    keep: Option<&Path>,
) -> Result<bool> {
    let (mut passed, mut failed) = (0, 0);
    let mut gaps: BTreeMap<&'static str, Vec<f64>> = BTreeMap::new();
    for seed in seed..seed + rounds {
        match run_round(config, seed, faults, keep) {
            Ok(round) => {
                passed += 1;
                let h = &round.counts;
                println!(
                    "seed {seed}: {:?}; {} terms, {} effects done, {} taken, {} refused, {} taken back, {} calls",
                    round.faults, h.terms, h.acted, h.accepted, h.refused, h.taken_back, h.answers
                );
                round
                    .gaps_ms
                    .into_iter()
                    .for_each(|(what, ms)| gaps.entry(what).or_default().push(ms));
            }
            Err(e) => {
                failed += 1;
                println!("seed {seed}: FAILED: {e}");
            }
        }
    }
    for (what, mut ms) in gaps {
        ms.sort_by(f64::total_cmp);
        println!(
            "{what}: to the next owner p50 {:.0}, p99 {:.0}, most {:.0} ms over {} (lease {} ms)",
            percentile(&ms, 0.5),
            percentile(&ms, 0.99),
            percentile(&ms, 1.0),
            ms.len(),
            config.lease_ms
        );
    }
    println!("{passed} passed, {failed} failed");
    Ok(failed == 0)
}
