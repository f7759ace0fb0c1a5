//! Gateways that hold copies for one another: a council, a store each, links between each ordered pair, workers and a portal
//! that count, and callers who write down what they were promised.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Error, Result};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use base64::prelude::{Engine, BASE64_STANDARD};

use crate::fakes::gateway::{Folder, KEYED, SAFE, UNSAFE};
use crate::fakes::{
    call_body, now_s, secret, secret_text, status, Caller, Gateway, Manner, Portal, Worker,
    PATIENCE,
};
use crate::fault_proxy::{Faults, Link, Way};
use crate::history::promises::{self, CopyNote, Promised, Wrong};
use crate::lease_trials::{free, make_seat, name};

/// The tenant of all calls.
const TENANT: &str = "franq-bajio";

/// What the instances are.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Gateways in all; the first five of them vote.
    pub instances: usize,
    /// Disks that a promise stands on.
    pub copies: usize,
    /// Halls.
    pub halls: usize,
    /// A guard that is taken out, if the build has it to take out.
    pub without: Option<String>,
    /// How long a worker takes over a call.
    pub work: Duration,
    /// Whether calls that are safe to repeat are taken also where fewer machines hold their shard.
    pub fewer: bool,
    /// A step of a call's life at which an instance ends once it is armed.
    pub ends_at: Option<&'static str>,
    /// An instance whose files do not grow beyond so many KiB, as on a full disk.
    pub full: Option<(usize, u64)>,
    /// Whether the instances are administered.
    pub administered: bool,
    /// Whether copies are on at all; without them each gateway has its store alone.
    pub on: bool,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            instances: 6,
            copies: 2,
            halls: 3,
            without: None,
            work: Duration::from_millis(3),
            on: true,
            fewer: false,
            full: None,
            administered: false,
            ends_at: None,
        }
    }
}

/// What callers were told, by the identity of the call: its class and the gateway's status.
pub type Told = Arc<Mutex<BTreeMap<String, (String, u16)>>>;

/// Sends single calls.
#[derive(Clone, Debug)]
pub struct Desk {
    doors: Vec<Arc<AtomicU64>>,
    told: Told,
}

impl Desk {
    /// Sends one signed call to an instance; its status, 0 for none.
    pub fn send(&self, n: usize, id: &str, class: &str) -> u16 {
        let port = self.doors[n].load(Ordering::Relaxed) as u16;
        let text = call_body(class, 7, None);
        let answer = Caller::new(([127, 0, 0, 1], port).into()).call(TENANT, &secret(1), id, &text);
        let status = answer.map_or(0, |a| status(&a));
        note(&self.told, id, class, status);
        status
    }

    /// Sends safe calls on one connection, each once the one before was answered: how long each promise took, microseconds,
    /// and how many were turned away.
    pub fn send_until(&self, n: usize, prefix: &str, end: Instant) -> (Vec<u64>, u64) {
        let port = self.doors[n].load(Ordering::Relaxed) as u16;
        let (mut caller, secret) = (Caller::new(([127, 0, 0, 1], port).into()), secret(1));
        let (mut micros, mut refused) = (Vec::new(), 0);
        while Instant::now() < end {
            let id = format!("{prefix}-{}", micros.len() as u64 + refused);
            let from = Instant::now();
            match caller.call(TENANT, &secret, &id, &call_body(SAFE, 7, None)) {
                Ok(answer) if status(&answer) == 202 => {
                    micros.push(from.elapsed().as_micros() as u64)
                }
                _ => refused += 1,
            }
        }
        (micros, refused)
    }
}

/// The fleet.
#[derive(Debug)]
pub struct Fleet {
    /// The gateways; none while one is down.
    pub gateways: Vec<Option<Gateway>>,
    /// The workers.
    pub workers: Vec<Worker>,
    /// The portal that callbacks go to.
    pub portal: Portal,
    /// The link from one instance to another.
    pub links: BTreeMap<(usize, usize), Link>,
    /// What callers were told.
    pub told: Told,
    folder: Folder,
    operator: String,
    shape: Shape,
    doors: Vec<Arc<AtomicU64>>,
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
    calls: Arc<AtomicU64>,
    /// Whether a voter's seat was lost already: only an operator can put another in its place.
    seat_lost: bool,
    /// Shards of which a machine was lost, and the epoch at that.
    bereft: BTreeMap<u16, u64>,
}

impl Fleet {
    /// Founds a council and starts everybody.
    pub fn start(shape: Shape, seed: u64) -> Result<Fleet> {
        let folder = Folder::new(&format!("copies-{seed}"))?;
        std::fs::create_dir_all(folder.0.join("history"))?;
        std::fs::write(
            folder.0.join("shared.keys"),
            BASE64_STANDARD.encode([7u8; 32]),
        )?;
        let workers: Vec<Worker> = (0..4)
            .map(|_| Worker::start(shape.work, 0))
            .collect::<Result<_>>()?;
        let portal = Portal::start(secret(1), Manner::Good)?;
        let admin = if shape.administered {
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
        let ports: Vec<SocketAddr> = (0..shape.instances)
            .map(|_| free())
            .collect::<Result<_>>()?;
        let mut links = BTreeMap::new();
        for from in 0..shape.instances {
            for (to, port) in ports.iter().enumerate().filter(|(to, _)| *to != from) {
                links.insert(
                    (from, to),
                    Link::stream(*port, seed ^ ((from as u64) << 8 | to as u64))?,
                );
            }
        }
        let voters = shape.instances.min(5);
        let names: Vec<String> = (0..voters).map(name).collect();
        for (n, port) in ports.iter().enumerate() {
            let home = folder.0.join(name(n));
            std::fs::create_dir_all(&home)?;
            let at = |to: usize| links.get(&(n, to)).map_or(*port, |l: &Link| l.address);
            let all: String = (0..voters)
                .map(|to| format!("{} = \"{}\"\n", name(to), at(to)))
                .collect();
            let seat = if n < voters { "seat = \"seat\"\n" } else { "" };
            let council = format!(
                "listen = \"{}\"\nname = \"{}\"\n{seat}lease_ms = 600\ntick_ms = 20\nhistory = \"../history/{}.jsonl\"\n\
                 shared_keys = \"../shared.keys\"\n[voters]\n{all}",
                port,
                name(n),
                name(n)
            );
            std::fs::write(home.join("council.toml"), council)?;
            let members: String = (0..shape.instances)
                .map(|to| {
                    let hall = to % shape.halls.max(1);
                    format!(
                        "{} = {{ address = \"{}\", hall = \"hall-{hall}\" }}\n",
                        name(to),
                        at(to)
                    )
                })
                .collect();
            let fewer = if shape.fewer {
                format!("[when_fewer]\n{SAFE} = \"fewer\"\n")
            } else {
                String::new()
            };
            let copies = format!(
                "copies = {}\nshards = 8\nsilent_ms = 700\nstall_ms = 400\nask_ms = 1500\nrepairs = 4\n{fewer}[members]\n{members}",
                shape.copies
            );
            std::fs::write(home.join("copies.toml"), copies)?;
            if n < voters {
                make_seat(&home, &names)?;
            }
        }
        let mut fleet = Fleet {
            gateways: (0..shape.instances).map(|_| None).collect(),
            workers,
            portal,
            links,
            told: Told::default(),
            folder,
            operator,
            doors: (0..shape.instances).map(|_| Arc::default()).collect(),
            shape,
            stop: Arc::default(),
            callers: Vec::new(),
            calls: Arc::default(),
            seat_lost: false,
            bereft: BTreeMap::new(),
        };
        for n in 0..fleet.shape.instances {
            fleet.run(n)?;
        }
        Ok(fleet)
    }

    /// The folder of the histories.
    pub fn histories(&self) -> PathBuf {
        self.folder.0.join("history")
    }

    /// The folder of all.
    pub fn folder(&self) -> &std::path::Path {
        &self.folder.0
    }

    /// The folder of one instance.
    pub fn home(&self, n: usize) -> PathBuf {
        self.folder.0.join(name(n))
    }

    /// Starts an instance on the files in its folder.
    pub fn run(&mut self, n: usize) -> Result<()> {
        let home = self.home(n);
        let council = home.join("council.toml");
        let copies = self.shape.on.then(|| home.join("copies.toml"));
        let without = self.shape.without.as_deref();
        let gateway = Gateway::holding(
            &home,
            &self.workers,
            &council,
            copies.as_deref(),
            without,
            self.shape.ends_at,
            self.shape
                .full
                .filter(|(full, _)| *full == n)
                .map(|(_, kib)| kib),
            &self.operator,
        )?;
        let door = gateway
            .webhooks
            .ok_or_else(|| Error::other("no webhooks"))?;
        self.doors[n].store(u64::from(door.port()), Ordering::Relaxed);
        self.gateways[n] = Some(gateway);
        Ok(())
    }

    /// SIGKILL.
    pub fn kill(&mut self, n: usize) -> Result<()> {
        self.doors[n].store(0, Ordering::Relaxed);
        self.gateways[n].take().map_or(Ok(()), |mut g| g.kill())
    }

    /// The machine is lost: the process with its disk. The first to be lost takes its voter's seat with it; the seats of
    /// later ones lie elsewhere, as nobody here puts other voters in their place.
    pub fn lose(&mut self, n: usize) -> Result<()> {
        self.kill(n)?;
        for (shard, (epoch, _, members)) in self.led() {
            if members.contains(&name(n)) {
                self.bereft.insert(shard, epoch);
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

    /// Starts an instance whose files have room for so many KiB more and no further, as on a disk that is nearly full.
    pub fn run_with_room(&mut self, n: usize, kib: u64) -> Result<()> {
        let store = std::fs::metadata(self.home(n).join("store"))?.len();
        self.shape.full = Some((n, store.div_ceil(1024) + kib));
        let started = self.run(n);
        self.shape.full = None;
        started
    }

    /// Waits until an instance that was told to end has.
    pub fn wait(&mut self, n: usize) -> Result<()> {
        self.doors[n].store(0, Ordering::Relaxed);
        self.gateways[n].take().map_or(Ok(()), |mut g| g.wait())
    }

    /// How often an instance found its disk to hold something else than was written.
    pub fn damages(&self, n: usize) -> usize {
        let found = |x: &CopyNote| matches!(x, CopyNote::Damaged { .. });
        self.notes()
            .iter()
            .filter(|(who, _, x)| *who == name(n) && found(x))
            .count()
    }

    /// Whether what an instance's disk was found to hold wrongly was mended, but for shards that others hold by now.
    pub fn is_mended(&self, n: usize) -> bool {
        let (me, led, mut open) = (name(n), self.led(), BTreeSet::new());
        for (who, _, note) in self.notes() {
            match note {
                CopyNote::Damaged { shard, .. } if who == me => drop(open.insert(shard)),
                CopyNote::Mended { shard, .. } | CopyNote::Refuted { shard } if who == me => {
                    open.remove(&shard);
                }
                _ => {}
            }
        }
        open.iter()
            .all(|shard| led.get(shard).is_some_and(|s| !s.2.contains(&me)))
    }

    /// Its disk tells kept what it loses when the process ends: the store as it is now, to be put back then.
    pub fn begin_to_lie(&self, n: usize) -> Result<()> {
        let (store, then) = (self.home(n).join("store"), self.home(n).join("then"));
        // No write is on its way meanwhile; what a kill leaves behind is what a copy has.
        self.gateway(n)?.freeze()?;
        std::fs::copy(store, then)?;
        self.gateway(n)?.thaw()
    }

    /// The process of one whose disk lies ends.
    pub fn kill_liar(&mut self, n: usize) -> Result<()> {
        self.kill(n)?;
        std::fs::copy(self.home(n).join("then"), self.home(n).join("store")).map(drop)
    }

    /// What an instance's disk holds changes by itself while its process is not there: one letter of each record. How many.
    pub fn damage(&self, n: usize) -> Result<usize> {
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

    /// Has an instance end at the step that all were given, and waits until it has.
    pub fn ends(&mut self, n: usize) -> Result<()> {
        std::fs::write(self.home(n).join("armed"), "")?;
        let end = Instant::now() + PATIENCE;
        while !self.gateways[n]
            .as_mut()
            .map_or(Ok(true), Gateway::has_ended)?
        {
            if Instant::now() > end {
                return Err(Error::other(format!(
                    "{} did not come to the step",
                    name(n)
                )));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        Ok(())
    }

    /// One instance's process.
    pub fn gateway(&self, n: usize) -> Result<&Gateway> {
        self.gateways[n]
            .as_ref()
            .ok_or_else(|| Error::other(format!("{} is down", name(n))))
    }

    /// What all links from and to an instance do; `leaves` is what leaves it.
    pub fn around(&self, n: usize, leaves: Faults, comes: Faults) {
        for ((from, to), link) in &self.links {
            if *from == n {
                link.set(Way::There, leaves);
                link.set(Way::Back, comes);
            } else if *to == n {
                link.set(Way::There, comes);
                link.set(Way::Back, leaves);
            }
        }
    }

    /// What all links do.
    pub fn everywhere(&self, faults: Faults) {
        self.links.values().for_each(|l| l.set_both(faults));
    }

    /// Where single calls are sent from; may be taken to other threads.
    pub fn desk(&self) -> Desk {
        Desk {
            doors: self.doors.clone(),
            told: self.told.clone(),
        }
    }

    /// Sends one signed call to an instance; its status, 0 for none.
    pub fn send(&self, n: usize, id: &str, class: &str) -> u16 {
        self.desk().send(n, id, class)
    }

    /// Begins calls of all classes at every instance.
    pub fn call(&mut self, callers: usize) {
        for c in 0..callers {
            let (stop, told, calls) = (self.stop.clone(), self.told.clone(), self.calls.clone());
            let doors = self.doors.clone();
            self.callers.push(std::thread::spawn(move || {
                let mut open: BTreeMap<u64, Caller> = BTreeMap::new();
                let secret = secret(1);
                let mut turn = c;
                while !stop.load(Ordering::Relaxed) {
                    turn += 1;
                    let port = doors[turn % doors.len()].load(Ordering::Relaxed);
                    if port == 0 {
                        std::thread::sleep(Duration::from_millis(2));
                        continue;
                    }
                    let n = calls.fetch_add(1, Ordering::Relaxed);
                    let class = [SAFE, UNSAFE, KEYED][n as usize % 3];
                    let id = format!("call-{n}");
                    let to = open.entry(port).or_insert_with(|| {
                        Caller::patient(([127, 0, 0, 1], port as u16).into(), 4)
                    });
                    let status = match to.call(TENANT, &secret, &id, &call_body(class, n % 7, None))
                    {
                        Ok(answer) => status(&answer),
                        Err(_) => {
                            open.remove(&port);
                            0
                        }
                    };
                    note(&told, &id, class, status);
                    std::thread::sleep(Duration::from_millis(if status == 202 { 3 } else { 15 }));
                }
            }));
        }
    }

    /// How many calls were promised so far.
    pub fn promised(&self) -> usize {
        self.told
            .lock()
            .map_or(0, |t| t.values().filter(|(_, s)| *s == 202).count())
    }

    /// Waits until so many more calls were promised.
    pub fn promised_more(&self, more: usize) -> Result<()> {
        let want = self.promised() + more;
        self.await_that(&format!("{more} more promises"), || self.promised() >= want)
    }

    /// Waits until something holds; the longest wait is a bound on the run alone.
    pub fn await_that(&self, what: &str, holds: impl Fn() -> bool) -> Result<()> {
        let end = Instant::now() + 2 * PATIENCE;
        while !holds() {
            if Instant::now() > end {
                let log = |g: &Gateway| g.log.last().cloned();
                let logs: Vec<_> = self
                    .gateways
                    .iter()
                    .map(|g| g.as_ref().and_then(log))
                    .collect();
                return Err(Error::other(format!(
                    "{what} did not come; logged last: {logs:?}; {:?}",
                    self.led()
                )));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    /// What all have recorded of shards, each with its process's name.
    pub fn notes(&self) -> Vec<(String, u64, CopyNote)> {
        promises::read(&self.histories()).unwrap_or_default()
    }

    /// Who led each shard last, under which epoch and with which set, as far as was recorded.
    pub fn led(&self) -> BTreeMap<u16, (u64, usize, Vec<String>)> {
        let mut led: BTreeMap<u16, (u64, usize, Vec<String>)> = BTreeMap::new();
        for (who, _, note) in self.notes() {
            if let CopyNote::Led {
                shard,
                epoch,
                members,
                ..
            } = note
            {
                let n = who
                    .rsplit('-')
                    .next()
                    .and_then(|n| n.parse().ok())
                    .unwrap_or(0);
                let known = led.entry(shard).or_default();
                if epoch >= known.0 {
                    *known = (epoch, n, members);
                }
            }
        }
        led
    }

    /// Waits until every shard is held by as many as it has to be.
    pub fn whole(&self) -> Result<()> {
        let copies = self.shape.copies;
        self.await_that("whole sets", || {
            let led = self.led();
            let up = |m: &String| {
                m.rsplit('-')
                    .next()
                    .and_then(|n| n.parse().ok())
                    .is_some_and(|n: usize| self.gateways.get(n).is_some_and(Option::is_some))
            };
            let newer =
                |shard: &u16, epoch: u64| self.bereft.get(shard).is_none_or(|old| epoch > *old);
            led.len() == 8
                && led.iter().all(|(id, (e, _, members))| {
                    members.len() == copies && members.iter().all(up) && newer(id, *e)
                })
        })
    }

    /// The callers end.
    pub fn hang_up(&mut self) -> Result<()> {
        self.stop.store(true, Ordering::Relaxed);
        for caller in std::mem::take(&mut self.callers) {
            caller.join().map_err(|_| Error::other("a caller failed"))?;
        }
        self.stop.store(false, Ordering::Relaxed);
        Ok(())
    }

    /// How a call stands, asked at an instance.
    pub fn state(&self, n: usize, id: &str) -> Result<String> {
        use molelug::front::webhook::signature;
        let port = self.doors[n].load(Ordering::Relaxed) as u16;
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

    /// Ends the callers, waits until every call that was promised has its end, and judges what all recorded.
    pub fn judge(mut self) -> Result<(Promised, Vec<Wrong>)> {
        self.hang_up()?;
        let told = self
            .told
            .lock()
            .map_err(|_| Error::other("a caller failed"))?
            .clone();
        let mut open: BTreeSet<String> = told
            .iter()
            .filter(|(_, (_, s))| *s == 202)
            .map(|(id, _)| id.clone())
            .collect();
        let at = (0..self.shape.instances)
            .find(|n| self.gateways[*n].is_some())
            .unwrap_or(0);
        let end = Instant::now() + 2 * PATIENCE;
        let mut outcomes: BTreeMap<String, String> = BTreeMap::new();
        while !open.is_empty() && Instant::now() < end {
            for id in open.clone() {
                match self.state(at, &id)?.as_str() {
                    "" | "open" => {}
                    outcome => {
                        outcomes.insert(id.clone(), outcome.to_owned());
                        open.remove(&id);
                    }
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        // Safe calls' callbacks come; those of the others may be ones of which nobody can tell.
        let safe: BTreeSet<&String> = outcomes.keys().filter(|id| told[*id].0 == SAFE).collect();
        let came = |p: &Portal| {
            p.all()
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
            .all()
            .into_iter()
            .map(|s| (s.call, s.confirmed))
            .collect();
        Ok(promises::check(
            &self.notes(),
            &told,
            &outcomes,
            &runs,
            &portal,
        ))
    }
}

fn note(told: &Told, id: &str, class: &str, status: u16) {
    if let Ok(mut told) = told.lock() {
        // A promise counts, whatever another gateway says of the same identity.
        let known = told
            .entry(id.to_owned())
            .or_insert((class.to_owned(), status));
        if known.1 != 202 {
            known.1 = status;
        }
    }
}
