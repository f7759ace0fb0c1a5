//! A fleet of gateway processes that replicate their stores, with a consensus group, a store per
//! gateway and a fault-injecting link for each ordered pair. Workers and a portal count what
//! reaches them, and callers record the status of each call.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Error, Result};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use base64::prelude::{Engine, BASE64_STANDARD};

use crate::fakes::gateway::{TempFolder, KEYED_CLASS, NON_IDEMPOTENT_CLASS, READ_CLASS};
use crate::fakes::{
    call_body, now_s, secret, secret_text, status, Caller, Gateway, Portal, PortalBehavior, Worker,
    WAIT_TIMEOUT,
};
use crate::fault_proxy::{Direction, Faults, Link};
use crate::history::promises::{self, CopyNote, DurabilityCounts, Violation};
use crate::lease_trials::{create_seat, free_port_address, instance_name};

/// Tenant of all calls.
const TENANT: &str = "franq-bajio";

/// Configuration of a fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Number of gateways; the first five vote.
    pub instances: usize,
    /// Number of disks that store a record before the gateway promises it.
    pub copies: usize,
    /// Number of zones, written as `hall` in the settings.
    pub zones: usize,
    /// Safety check to disable, in builds that support it.
    pub disabled_guard: Option<String>,
    /// Time that a worker takes for a call.
    pub worker_latency: Duration,
    /// Whether idempotent calls are accepted while fewer machines than `copies` hold their shard.
    pub accept_with_fewer: bool,
    /// Step of a call's processing at which an armed instance exits.
    pub exit_step: Option<&'static str>,
    /// Instance whose files have a size limit, and that limit in KiB; simulates a full disk.
    pub file_size_limit: Option<(usize, u64)>,
    /// Whether the instances have an administration interface.
    pub with_admin: bool,
    /// Whether replication is on; without replication each gateway only writes its own store.
    pub replicated: bool,
}

impl Default for FleetConfig {
    fn default() -> FleetConfig {
        FleetConfig {
            instances: 6,
            copies: 2,
            zones: 3,
            disabled_guard: None,
            worker_latency: Duration::from_millis(3),
            replicated: true,
            accept_with_fewer: false,
            file_size_limit: None,
            with_admin: false,
            exit_step: None,
        }
    }
}

/// Class and response status of each call, by call id.
pub type CallResponses = Arc<Mutex<BTreeMap<String, (String, u16)>>>;

/// Sends single calls to instances of a fleet.
#[derive(Clone, Debug)]
pub struct CallSender {
    front_ports: Vec<Arc<AtomicU64>>,
    responses: CallResponses,
}

impl CallSender {
    /// Sends one signed call to an instance. Returns the status, or 0 without a response.
    pub fn send(&self, n: usize, id: &str, class: &str) -> u16 {
        let port = self.front_ports[n].load(Ordering::Relaxed) as u16;
        let text = call_body(class, 7, None);
        let answer = Caller::new(([127, 0, 0, 1], port).into()).call(TENANT, &secret(1), id, &text);
        let status = answer.map_or(0, |a| status(&a));
        record_response(&self.responses, id, class, status);
        status
    }

    /// Sends idempotent calls one after the other on one connection until `end`. Returns the
    /// latency of each promise in microseconds and the number of refused calls.
    pub fn send_until(&self, n: usize, prefix: &str, end: Instant) -> (Vec<u64>, u64) {
        let port = self.front_ports[n].load(Ordering::Relaxed) as u16;
        let (mut caller, secret) = (Caller::new(([127, 0, 0, 1], port).into()), secret(1));
        let (mut micros, mut refused) = (Vec::new(), 0);
        while Instant::now() < end {
            let id = format!("{prefix}-{}", micros.len() as u64 + refused);
            let from = Instant::now();
            match caller.call(TENANT, &secret, &id, &call_body(READ_CLASS, 7, None)) {
                Ok(answer) if status(&answer) == 202 => {
                    micros.push(from.elapsed().as_micros() as u64)
                }
                _ => refused += 1,
            }
        }
        (micros, refused)
    }
}

/// A running fleet with its workers, portal, links and callers.
#[derive(Debug)]
pub struct Fleet {
    /// Gateway processes by instance; `None` while an instance is down.
    pub gateways: Vec<Option<Gateway>>,
    /// Workers that the gateways call.
    pub workers: Vec<Worker>,
    /// Portal that receives the callbacks.
    pub portal: Portal,
    /// Links by (connecting instance, accepting instance).
    pub links: BTreeMap<(usize, usize), Link>,
    /// Responses that callers received.
    pub responses: CallResponses,
    folder: TempFolder,
    operator: String,
    config: FleetConfig,
    front_ports: Vec<Arc<AtomicU64>>,
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
    calls: Arc<AtomicU64>,
    /// Whether a voter's seat was already lost; only an operator can replace a lost voter.
    seat_lost: bool,
    /// Epoch of each shard at the time when it lost a member's machine.
    lost_member_epochs: BTreeMap<u16, u64>,
}

impl Fleet {
    /// Creates the consensus group's files and starts all instances.
    pub fn start(config: FleetConfig, seed: u64) -> Result<Fleet> {
        let folder = TempFolder::new(&format!("copies-{seed}"))?;
        std::fs::create_dir_all(folder.0.join("history"))?;
        std::fs::write(
            folder.0.join("shared.keys"),
            BASE64_STANDARD.encode([7u8; 32]),
        )?;
        let workers: Vec<Worker> = (0..4)
            .map(|_| Worker::start(config.worker_latency, 0))
            .collect::<Result<_>>()?;
        let portal = Portal::start(secret(1), PortalBehavior::Good)?;
        let admin = if config.with_admin {
            crate::fakes::admin::write(&folder.0)?
        } else {
            String::new()
        };
        let operator = format!(
            "{admin}[webhooks]\nlisten = \"127.0.0.1:0\"\nstore = \"store\"\ncallback_answer_ms = 2000\npending = 4096\n\
             schedule_s = [0.05, 0.1, 0.2, 0.4, 0.8, 1, 1, 1, 2, 2, 2, 2]\n\
             [[tenants]]\nname = \"{TENANT}\"\nportal = \"http://{}/in\"\nsecrets = [\"{}\"]\n",
            portal.address,
            secret_text(1)
        );
        let ports: Vec<SocketAddr> = (0..config.instances)
            .map(|_| free_port_address())
            .collect::<Result<_>>()?;
        let mut links = BTreeMap::new();
        for from in 0..config.instances {
            for (to, port) in ports.iter().enumerate().filter(|(to, _)| *to != from) {
                links.insert(
                    (from, to),
                    Link::stream(*port, seed ^ ((from as u64) << 8 | to as u64))?,
                );
            }
        }
        let voters = config.instances.min(5);
        let names: Vec<String> = (0..voters).map(instance_name).collect();
        for (n, port) in ports.iter().enumerate() {
            let home = folder.0.join(instance_name(n));
            std::fs::create_dir_all(&home)?;
            let at = |to: usize| links.get(&(n, to)).map_or(*port, |l: &Link| l.address);
            let all: String = (0..voters)
                .map(|to| format!("{} = \"{}\"\n", instance_name(to), at(to)))
                .collect();
            let seat = if n < voters { "seat = \"seat\"\n" } else { "" };
            let council = format!(
                "listen = \"{}\"\nname = \"{}\"\n{seat}lease_ms = 600\ntick_ms = 20\nhistory = \"../history/{}.jsonl\"\n\
                 shared_keys = \"../shared.keys\"\n[voters]\n{all}",
                port,
                instance_name(n),
                instance_name(n)
            );
            std::fs::write(home.join("council.toml"), council)?;
            let members: String = (0..config.instances)
                .map(|to| {
                    let hall = to % config.zones.max(1);
                    format!(
                        "{} = {{ address = \"{}\", hall = \"hall-{hall}\" }}\n",
                        instance_name(to),
                        at(to)
                    )
                })
                .collect();
            let fewer = if config.accept_with_fewer {
                format!("[when_fewer]\n{READ_CLASS} = \"fewer\"\n")
            } else {
                String::new()
            };
            let copies = format!(
                "copies = {}\nshards = 8\nsilent_ms = 700\nstall_ms = 400\nask_ms = 1500\nrepairs = 4\n{fewer}[members]\n{members}",
                config.copies
            );
            std::fs::write(home.join("copies.toml"), copies)?;
            if n < voters {
                create_seat(&home, &names)?;
            }
        }
        let mut fleet = Fleet {
            gateways: (0..config.instances).map(|_| None).collect(),
            workers,
            portal,
            links,
            responses: CallResponses::default(),
            folder,
            operator,
            front_ports: (0..config.instances).map(|_| Arc::default()).collect(),
            config,
            stop: Arc::default(),
            callers: Vec::new(),
            calls: Arc::default(),
            seat_lost: false,
            lost_member_epochs: BTreeMap::new(),
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

    /// Returns the folder that contains all files of the fleet.
    pub fn folder(&self) -> &std::path::Path {
        &self.folder.0
    }

    /// Returns the folder of one instance.
    pub fn home(&self, n: usize) -> PathBuf {
        self.folder.0.join(instance_name(n))
    }

    /// Starts an instance with the files in its folder.
    pub fn start_instance(&mut self, n: usize) -> Result<()> {
        let home = self.home(n);
        let council = home.join("council.toml");
        let copies = self.config.replicated.then(|| home.join("copies.toml"));
        let disabled_guard = self.config.disabled_guard.as_deref();
        let gateway = Gateway::start_with_replication(
            &home,
            &self.workers,
            &council,
            copies.as_deref(),
            disabled_guard,
            self.config.exit_step,
            self.config
                .file_size_limit
                .filter(|(full, _)| *full == n)
                .map(|(_, kib)| kib),
            &self.operator,
        )?;
        let address = gateway
            .webhooks
            .ok_or_else(|| Error::other("the gateway has no webhook listener"))?;
        self.front_ports[n].store(u64::from(address.port()), Ordering::Relaxed);
        self.gateways[n] = Some(gateway);
        Ok(())
    }

    /// Kills an instance with SIGKILL.
    pub fn kill(&mut self, n: usize) -> Result<()> {
        self.front_ports[n].store(0, Ordering::Relaxed);
        self.gateways[n].take().map_or(Ok(()), |mut g| g.kill())
    }

    /// Simulates the loss of a machine: kills the process and deletes its store. The first lost
    /// machine also loses its voter's seat; later ones keep theirs, because the test bed replaces
    /// no voters.
    pub fn lose_machine(&mut self, n: usize) -> Result<()> {
        self.kill(n)?;
        for (shard, (epoch, _, members)) in self.shard_leaders() {
            if members.contains(&instance_name(n)) {
                self.lost_member_epochs.insert(shard, epoch);
            }
        }
        let files: &[&str] = if std::mem::replace(&mut self.seat_lost, true) {
            &["store"]
        } else {
            &["store", "seat"]
        };
        for file in files {
            match std::fs::remove_file(self.home(n).join(file)) {
                Err(e) if e.kind() != std::io::ErrorKind::NotFound => return Err(e),
                _ => {}
            }
        }
        Ok(())
    }

    /// Starts an instance whose store can grow by at most `kib` KiB, as on a nearly full disk.
    pub fn start_with_room(&mut self, n: usize, kib: u64) -> Result<()> {
        let store = std::fs::metadata(self.home(n).join("store"))?.len();
        self.config.file_size_limit = Some((n, store.div_ceil(1024) + kib));
        let started = self.start_instance(n);
        self.config.file_size_limit = None;
        started
    }

    /// Waits until an instance that was told to shut down has exited.
    pub fn wait_for_exit(&mut self, n: usize) -> Result<()> {
        self.front_ports[n].store(0, Ordering::Relaxed);
        self.gateways[n].take().map_or(Ok(()), |mut g| g.wait())
    }

    /// Returns how often an instance detected that its disk had changed what was written.
    pub fn detected_damages(&self, n: usize) -> usize {
        let found = |x: &CopyNote| matches!(x, CopyNote::Damaged { .. });
        self.notes()
            .iter()
            .filter(|(instance, _, x)| *instance == instance_name(n) && found(x))
            .count()
    }

    /// Returns whether an instance has repaired all detected damage, except in shards that only
    /// other instances hold by now.
    pub fn is_repaired(&self, n: usize) -> bool {
        let (own_name, leaders, mut open) =
            (instance_name(n), self.shard_leaders(), BTreeSet::new());
        for (instance, _, note) in self.notes() {
            match note {
                CopyNote::Damaged { shard, .. } if instance == own_name => drop(open.insert(shard)),
                CopyNote::Mended { shard, .. } | CopyNote::Refuted { shard }
                    if instance == own_name =>
                {
                    open.remove(&shard);
                }
                _ => {}
            }
        }
        open.iter()
            .all(|shard| leaders.get(shard).is_some_and(|s| !s.2.contains(&own_name)))
    }

    /// Saves an instance's store, for a disk that acknowledges writes and loses them when the
    /// process ends: `kill_and_restore_store` puts this state back.
    pub fn save_store(&self, n: usize) -> Result<()> {
        let (store, then) = (self.home(n).join("store"), self.home(n).join("then"));
        // The stopped process writes nothing, so the copy has the state that a kill would leave.
        self.gateway(n)?.suspend()?;
        std::fs::copy(store, then)?;
        self.gateway(n)?.resume()
    }

    /// Kills an instance and puts back the store that `save_store` saved.
    pub fn kill_and_restore_store(&mut self, n: usize) -> Result<()> {
        self.kill(n)?;
        std::fs::copy(self.home(n).join("then"), self.home(n).join("store")).map(drop)
    }

    /// Corrupts the store of a stopped instance by changing one letter in each record. Returns the
    /// number of changes.
    pub fn corrupt_store(&self, n: usize) -> Result<usize> {
        let path = self.home(n).join("store");
        let mut bytes = std::fs::read(&path)?;
        let (word, mut changed, mut at) = (TENANT.as_bytes(), 0, 0);
        while let Some(found) = bytes[at..].windows(word.len()).position(|w| w == word) {
            at += found;
            bytes[at + 1] ^= 0x20;
            at += word.len();
            changed += 1;
        }
        std::fs::write(&path, bytes)?;
        Ok(changed)
    }

    /// Arms an instance to exit at the configured step, and waits until it has exited.
    pub fn wait_for_exit_at_step(&mut self, n: usize) -> Result<()> {
        std::fs::write(self.home(n).join("armed"), "")?;
        let end = Instant::now() + WAIT_TIMEOUT;
        while !self.gateways[n]
            .as_mut()
            .map_or(Ok(true), Gateway::has_exited)?
        {
            if Instant::now() > end {
                return Err(Error::other(format!(
                    "{} did not reach the step",
                    instance_name(n)
                )));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        Ok(())
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

    /// Returns a sender of single calls, which other threads can use.
    pub fn call_sender(&self) -> CallSender {
        CallSender {
            front_ports: self.front_ports.clone(),
            responses: self.responses.clone(),
        }
    }

    /// Sends one signed call to an instance. Returns the status, or 0 without a response.
    pub fn send(&self, n: usize, id: &str, class: &str) -> u16 {
        self.call_sender().send(n, id, class)
    }

    /// Starts callers that send calls of all classes to every instance.
    pub fn start_callers(&mut self, callers: usize) {
        for c in 0..callers {
            let (stop, responses, calls) = (
                self.stop.clone(),
                self.responses.clone(),
                self.calls.clone(),
            );
            let front_ports = self.front_ports.clone();
            self.callers.push(std::thread::spawn(move || {
                let mut open: BTreeMap<u64, Caller> = BTreeMap::new();
                let secret = secret(1);
                let mut turn = c;
                while !stop.load(Ordering::Relaxed) {
                    turn += 1;
                    let port = front_ports[turn % front_ports.len()].load(Ordering::Relaxed);
                    if port == 0 {
                        std::thread::sleep(Duration::from_millis(2));
                        continue;
                    }
                    let n = calls.fetch_add(1, Ordering::Relaxed);
                    let class = [READ_CLASS, NON_IDEMPOTENT_CLASS, KEYED_CLASS][n as usize % 3];
                    let id = format!("call-{n}");
                    let to = open.entry(port).or_insert_with(|| {
                        Caller::with_timeout(([127, 0, 0, 1], port as u16).into(), 4)
                    });
                    let status = match to.call(TENANT, &secret, &id, &call_body(class, n % 7, None))
                    {
                        Ok(answer) => status(&answer),
                        Err(_) => {
                            open.remove(&port);
                            0
                        }
                    };
                    record_response(&responses, &id, class, status);
                    std::thread::sleep(Duration::from_millis(if status == 202 { 3 } else { 15 }));
                }
            }));
        }
    }

    /// Returns the number of calls promised so far.
    pub fn promised_calls(&self) -> usize {
        self.responses
            .lock()
            .map_or(0, |t| t.values().filter(|(_, s)| *s == 202).count())
    }

    /// Waits until `more` further calls were promised.
    pub fn wait_for_promises(&self, more: usize) -> Result<()> {
        let want = self.promised_calls() + more;
        self.wait_until(&format!("{more} more promises"), || {
            self.promised_calls() >= want
        })
    }

    /// Waits until a condition holds. The timeout only bounds the run; it is no requirement on the
    /// gateways.
    pub fn wait_until(&self, what: &str, holds: impl Fn() -> bool) -> Result<()> {
        let end = Instant::now() + 2 * WAIT_TIMEOUT;
        while !holds() {
            if Instant::now() > end {
                let log = |g: &Gateway| g.log.last().cloned();
                let logs: Vec<_> = self
                    .gateways
                    .iter()
                    .map(|g| g.as_ref().and_then(log))
                    .collect();
                return Err(Error::other(format!(
                    "timed out waiting for {what}; last log lines: {logs:?}; shards: {:?}",
                    self.shard_leaders()
                )));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    /// Returns all recorded notes on shards, each with the name and number of its process.
    pub fn notes(&self) -> Vec<(String, u64, CopyNote)> {
        promises::read(&self.histories()).unwrap_or_default()
    }

    /// Returns the newest recorded epoch, primary and member set of each shard.
    pub fn shard_leaders(&self) -> BTreeMap<u16, (u64, usize, Vec<String>)> {
        let mut leaders: BTreeMap<u16, (u64, usize, Vec<String>)> = BTreeMap::new();
        for (instance, _, note) in self.notes() {
            if let CopyNote::Led {
                shard,
                epoch,
                members,
                ..
            } = note
            {
                let n = instance
                    .rsplit('-')
                    .next()
                    .and_then(|n| n.parse().ok())
                    .unwrap_or(0);
                let known = leaders.entry(shard).or_default();
                if epoch >= known.0 {
                    *known = (epoch, n, members);
                }
            }
        }
        leaders
    }

    /// Waits until every shard has its configured number of members, all of them running.
    pub fn wait_for_full_sets(&self) -> Result<()> {
        let copies = self.config.copies;
        self.wait_until("whole sets", || {
            let leaders = self.shard_leaders();
            let up = |m: &String| {
                m.rsplit('-')
                    .next()
                    .and_then(|n| n.parse().ok())
                    .is_some_and(|n: usize| self.gateways.get(n).is_some_and(Option::is_some))
            };
            let newer = |shard: &u16, epoch: u64| {
                self.lost_member_epochs
                    .get(shard)
                    .is_none_or(|old| epoch > *old)
            };
            leaders.len() == 8
                && leaders.iter().all(|(id, (e, _, members))| {
                    members.len() == copies && members.iter().all(up) && newer(id, *e)
                })
        })
    }

    /// Stops all callers.
    pub fn stop_callers(&mut self) -> Result<()> {
        self.stop.store(true, Ordering::Relaxed);
        for caller in std::mem::take(&mut self.callers) {
            caller.join().map_err(|_| Error::other("a caller failed"))?;
        }
        self.stop.store(false, Ordering::Relaxed);
        Ok(())
    }

    /// Queries the outcome of a call at an instance.
    pub fn call_outcome(&self, n: usize, id: &str) -> Result<String> {
        use molelug::front::webhook::signature;
        let port = self.front_ports[n].load(Ordering::Relaxed) as u16;
        let stamp = now_s();
        let signed = signature::sign(std::iter::once(&secret(1)), id, stamp, b"");
        let head = format!(
            "GET /webhooks/{TENANT}/calls/{id} HTTP/1.1\r\nHost: lab\r\nwebhook-id: {id}\r\nwebhook-timestamp: {stamp}\r\n\
             webhook-signature: {signed}\r\n\r\n"
        );
        let answer = Caller::new(([127, 0, 0, 1], port).into()).exchange(head.as_bytes())?;
        let body: serde_json::Value =
            serde_json::from_slice(crate::fakes::body(&answer)).unwrap_or_default();
        Ok(body["outcome"].as_str().unwrap_or("").to_owned())
    }

    /// Stops the callers, waits until every promised call has an outcome, and checks the histories.
    pub fn judge(mut self) -> Result<(DurabilityCounts, Vec<Violation>)> {
        self.stop_callers()?;
        let responses = self
            .responses
            .lock()
            .map_err(|_| Error::other("a caller failed"))?
            .clone();
        let mut open: BTreeSet<String> = responses
            .iter()
            .filter(|(_, (_, s))| *s == 202)
            .map(|(id, _)| id.clone())
            .collect();
        let at = (0..self.config.instances)
            .find(|n| self.gateways[*n].is_some())
            .unwrap_or(0);
        let end = Instant::now() + 2 * WAIT_TIMEOUT;
        let mut outcomes: BTreeMap<String, String> = BTreeMap::new();
        while !open.is_empty() && Instant::now() < end {
            for id in open.clone() {
                match self.call_outcome(at, &id)?.as_str() {
                    "" | "open" => {}
                    outcome => {
                        outcomes.insert(id.clone(), outcome.to_owned());
                        open.remove(&id);
                    }
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        // Idempotent calls get their callbacks; the delivery of other callbacks may stay unknown.
        let safe: BTreeSet<&String> = outcomes
            .keys()
            .filter(|id| responses[*id].0 == READ_CLASS)
            .collect();
        let came = |p: &Portal| {
            p.deliveries()
                .into_iter()
                .filter(|s| s.confirmed)
                .map(|s| s.call)
                .collect::<BTreeSet<_>>()
        };
        let all_came = |p: &Portal| {
            let came = came(p);
            safe.iter().all(|id| came.contains(*id))
        };
        while !all_came(&self.portal) && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(20));
        }
        for gateway in self.gateways.iter_mut().flatten() {
            gateway.kill()?;
        }
        let mut runs: BTreeMap<(String, String), u32> = BTreeMap::new();
        for w in &self.workers {
            for (id, n) in w
                .runs
                .lock()
                .map_err(|_| Error::other("a worker failed"))?
                .iter()
            {
                *runs.entry(id.clone()).or_default() += n;
            }
        }
        let portal: Vec<(String, bool)> = self
            .portal
            .deliveries()
            .into_iter()
            .map(|s| (s.call, s.confirmed))
            .collect();
        Ok(promises::check(
            &self.notes(),
            &responses,
            &outcomes,
            &runs,
            &portal,
        ))
    }
}

fn record_response(responses: &CallResponses, id: &str, class: &str, status: u16) {
    if let Ok(mut responses) = responses.lock() {
        // A promise stays, whatever another gateway responds for the same call id.
        let known = responses
            .entry(id.to_owned())
            .or_insert((class.to_owned(), status));
        if known.1 != 202 {
            known.1 = status;
        }
    }
}
