//! `owners`: gateways as real processes that share duties over links that fail; rounds by seed, judged by their histories.

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

use crate::fakes::gateway::{command, Folder, SAFE, SOCKETS};
use crate::fakes::{status, Caller, Gateway, Worker, PATIENCE};
use crate::fault_proxy::{Faults, Link, Way};
use crate::history::{self, Line, Note};

/// The lease that rounds play with, milliseconds.
pub const LEASE_MS: u64 = 600;
/// The voters' tick, milliseconds.
pub const TICK_MS: u64 = 20;

/// Callers of each instance: as many calls as this may meet a silent worker at once.
const CALLERS: u64 = 3;

/// The duty that the rounds watch.
pub const DUTY: &str = "trials";

/// An instance's name.
pub fn name(n: usize) -> String {
    format!("gw-{n}")
}

/// What the instances are.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Instances in all.
    pub instances: usize,
    /// How many of them vote, the first ones.
    pub voters: usize,
    /// How many after those have a seat that nobody has made a voter yet.
    pub seats: usize,
    /// Duties besides the one that is watched, which nobody does anything for.
    pub duties: Vec<String>,
    /// Whether there is a council at all.
    pub council: bool,
    /// A guard that is taken out, if the build has it to take out.
    pub without: Option<String>,
    /// The lease, milliseconds.
    pub lease_ms: u64,
    /// Descriptors that each may hold.
    pub sockets: usize,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            instances: 5,
            voters: 5,
            seats: 0,
            duties: Vec::new(),
            council: true,
            without: None,
            lease_ms: LEASE_MS,
            sockets: SOCKETS,
        }
    }
}

/// A note as it was read, and whose it is.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Which instance.
    pub instance: usize,
    /// The machine's time at which it was noted.
    pub at: u64,
    /// Its process.
    pub process: u64,
    /// What.
    pub note: Note,
}

/// Gateways, workers and the links between them.
#[derive(Debug)]
pub struct Fleet {
    /// The gateways; none while one is down.
    pub gateways: Vec<Option<Gateway>>,
    /// The workers.
    pub workers: Vec<Worker>,
    /// The link from one instance to a voter.
    pub links: BTreeMap<(usize, usize), Link>,
    folder: Folder,
    operator: String,
    shape: Shape,
    read: Vec<u64>,
    /// All that was noted so far.
    pub seen: Vec<Seen>,
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Result<()>>>,
    /// Where callers find each gateway's platform address; 0 while it is down.
    doors: Vec<Arc<AtomicU64>>,
}

/// A port that nothing else takes between a process's end and the next one's start: below those that the machine hands out.
pub(crate) fn free() -> Result<SocketAddr> {
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
    /// Founds a council and starts everybody.
    pub fn start(shape: Shape, seed: u64) -> Result<Fleet> {
        let folder = Folder::new(&format!("owners-{seed}"))?;
        std::fs::create_dir_all(folder.0.join("history"))?;
        std::fs::write(
            folder.0.join("shared.keys"),
            BASE64_STANDARD.encode([7u8; 32]),
        )?;
        let operator = crate::fakes::admin::write(&folder.0)?;
        let listed = shape.voters + shape.seats;
        let workers: Vec<Worker> = (0..6)
            .map(|_| Worker::start(Duration::from_millis(2), 0))
            .collect::<Result<_>>()?;
        let ports: Vec<SocketAddr> = (0..shape.instances)
            .map(|_| free())
            .collect::<Result<_>>()?;
        let mut links = BTreeMap::new();
        for from in 0..shape.instances {
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
        let names: Vec<String> = (0..shape.voters).map(name).collect();
        for (n, port) in ports.iter().enumerate() {
            let home = folder.0.join(name(n));
            std::fs::create_dir_all(&home)?;
            let voters: String = (0..listed)
                .map(|to| {
                    let at = links.get(&(n, to)).map_or(*port, |l: &Link| l.address);
                    format!("{} = \"{at}\"\n", name(to))
                })
                .collect();
            let seat = if n < listed { "seat = \"seat\"\n" } else { "" };
            let mut duties = vec![DUTY.to_owned()];
            duties.extend(shape.duties.iter().cloned());
            let text = format!(
                "listen = \"{}\"\nname = \"{}\"\n{seat}duties = {duties:?}\nlease_ms = {}\ntick_ms = {TICK_MS}\n\
                 history = \"../history/{}.jsonl\"\nshared_keys = \"../shared.keys\"\n[voters]\n{voters}",
                port,
                name(n),
                shape.lease_ms,
                name(n)
            );
            std::fs::write(home.join("council.toml"), text)?;
            if n < listed {
                make_seat(&home, if n < shape.voters { &names } else { &[] })?;
            }
        }
        let none = || (0..shape.instances).map(|_| None).collect();
        let doors = (0..shape.instances).map(|_| Arc::default()).collect();
        let mut fleet = Fleet {
            gateways: none(),
            workers,
            links,
            folder,
            operator,
            read: vec![0; shape.instances],
            shape,
            seen: Vec::new(),
            stop: Arc::default(),
            callers: Vec::new(),
            doors,
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

    /// The folder of one instance.
    pub fn home(&self, n: usize) -> PathBuf {
        self.folder.0.join(name(n))
    }

    /// Starts an instance on the files in its folder.
    pub fn run(&mut self, n: usize) -> Result<()> {
        let gateway = self.run_beside(n)?;
        self.doors[n].store(u64::from(gateway.platform.port()), Ordering::Relaxed);
        self.gateways[n] = Some(gateway);
        Ok(())
    }

    /// Starts a second process of an instance on the same files; it is handed back, and the first goes on.
    pub fn run_beside(&mut self, n: usize) -> Result<Gateway> {
        let home = self.home(n);
        if !self.shape.council {
            return Gateway::talking(&home, &self.workers, None);
        }
        let (file, without) = (home.join("council.toml"), self.shape.without.as_deref());
        Gateway::meeting(
            &home,
            &self.workers,
            &file,
            without,
            &self.operator,
            self.shape.sockets,
        )
    }

    /// Asks an instance by the operators' commands, such as `council show`.
    pub fn ask(&self, n: usize, what: &[&str]) -> Result<String> {
        let admin = self
            .gateway(n)?
            .admin
            .ok_or_else(|| Error::other("no administration"))?
            .to_string();
        let token = self.folder.0.join("svid").display().to_string();
        let at = ["--admin", &admin, "--token", &token];
        molelug(
            &what
                .iter()
                .chain(&at)
                .map(|s| (*s).to_owned())
                .collect::<Vec<_>>(),
        )
    }

    /// Writes other keys, which all share, and has everybody read them; in an order that a step apart are understood.
    pub fn rotate(&mut self, keys: &[u8]) -> Result<()> {
        let lines: Vec<String> = keys
            .iter()
            .map(|k| BASE64_STANDARD.encode([*k; 32]))
            .collect();
        std::fs::write(self.folder.0.join("shared.keys"), lines.join("\n"))?;
        for gateway in self.gateways.iter_mut().flatten() {
            gateway.reload()?;
            gateway.line("consensus addresses and keys reloaded")?;
        }
        Ok(())
    }

    /// SIGKILL.
    pub fn kill(&mut self, n: usize) -> Result<()> {
        self.doors[n].store(0, Ordering::Relaxed);
        self.gateways[n].take().map_or(Ok(()), |mut g| g.kill())
    }

    /// One instance's process.
    pub fn gateway(&self, n: usize) -> Result<&Gateway> {
        self.gateways[n]
            .as_ref()
            .ok_or_else(|| Error::other(format!("{} is down", name(n))))
    }

    /// What all links from and to an instance do; `there` is what leaves it.
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

    /// Begins calls at every instance, one after the other; their answers are a history too. One worker after the other is
    /// silent for a while, so that there is always something to be tried.
    pub fn call(&mut self) -> Result<()> {
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
            .doors
            .iter()
            .enumerate()
            .flat_map(|(n, door)| (0..CALLERS).map(move |c| (n, c, door)));
        for (n, c, door) in each {
            let path = self.histories().join(format!("calls-{n}-{c}.jsonl"));
            let mut file = File::options().create(true).append(true).open(path)?;
            let (stop, door) = (self.stop.clone(), door.clone());
            self.callers.push(std::thread::spawn(move || {
                let mut calls = 0u64;
                let mut caller: Option<(u64, Caller)> = None;
                while !stop.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_millis(5));
                    let port = door.load(Ordering::Relaxed);
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
                    let request = call(id, calls % 24);
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

    /// Reads what was noted since.
    pub fn look(&mut self) -> Result<()> {
        for n in 0..self.shape.instances {
            let Ok(mut file) = File::open(self.histories().join(format!("{}.jsonl", name(n))))
            else {
                continue;
            };
            file.seek(SeekFrom::Start(self.read[n]))?;
            let mut text = String::new();
            file.read_to_string(&mut text)?;
            let whole = text.rfind('\n').map_or(0, |end| end + 1);
            self.read[n] += whole as u64;
            for line in history::parse(&text[..whole])? {
                if let Line::Noted {
                    at, process, note, ..
                } = line
                {
                    self.seen.push(Seen {
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

    /// Waits until something was noted from a place in what was seen on; its place. The longest wait is a bound on the run
    /// alone.
    pub fn until(&mut self, from: usize, what: &str, is: impl Fn(&Seen) -> bool) -> Result<usize> {
        let end = Instant::now() + PATIENCE;
        loop {
            self.look()?;
            if let Some(at) = (from..self.seen.len()).find(|i| is(&self.seen[*i])) {
                return Ok(at);
            }
            if Instant::now() > end {
                let last = |n: usize| {
                    self.seen
                        .iter()
                        .rfind(|s| s.instance == n)
                        .map(|s| (s.at, &s.note))
                };
                let all: Vec<_> = (0..self.shape.instances)
                    .map(|n| (name(n), last(n)))
                    .collect();
                return Err(Error::other(format!(
                    "{what} did not come; noted last: {all:?}"
                )));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Who began to own the watched duty last, under which term, as far as was seen.
    pub fn owner(&self) -> Option<(usize, u64)> {
        let began = |s: &Seen| match &s.note {
            Note::Began { duty, term } if duty == DUTY => Some((s.instance, *term)),
            _ => None,
        };
        self.seen
            .iter()
            .filter_map(began)
            .max_by_key(|(_, term)| *term)
    }

    /// Waits for an owner under a term above this one.
    pub fn owned_after(&mut self, term: u64) -> Result<(usize, u64, usize)> {
        let is = |s: &Seen| matches!(&s.note, Note::Began { duty, term: t } if duty == DUTY && *t > term);
        let at = self.until(0, "the next owner", is)?;
        let Note::Began { term, .. } = self.seen[at].note else {
            return Err(Error::other("no owner"));
        };
        Ok((self.seen[at].instance, term, at))
    }

    /// Waits until another than the owner took one of its effects under this term, or a later one's.
    pub fn effect_of(&mut self, term: u64) -> Result<usize> {
        let is = |s: &Seen| matches!(&s.note, Note::Accepted { duty, term: t, .. } if duty == DUTY && *t >= term);
        self.until(0, "an effect", is)
    }

    /// Ends everything and judges what was recorded.
    pub fn judge(mut self) -> Result<(history::Held, Vec<history::Wrong>)> {
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

/// Makes the disk of a founder among these, or of one who may vote later, as an operator does.
pub(crate) fn make_seat(home: &Path, founders: &[String]) -> Result<()> {
    let file = home.join("council.toml").display().to_string();
    let what = if founders.is_empty() { "seat" } else { "found" };
    let args = [
        &["council".to_owned(), what.into(), "--council".into(), file],
        founders,
    ]
    .concat();
    molelug(&args).map(|_| ())
}

/// Runs a command of the gateway's program, and returns what it prints.
fn molelug(args: &[String]) -> Result<String> {
    let output = command(None)?.args(args).output()?;
    if output.status.success() {
        return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
    }
    Err(Error::other(format!(
        "{args:?}: {}",
        String::from_utf8_lossy(&output.stderr)
    )))
}

/// What one round did, for its report.
#[derive(Clone, Debug, Default)]
pub struct Round {
    /// The faults, in order.
    pub faults: Vec<&'static str>,
    /// From a fault that took the owner away to the next owner's beginning, milliseconds.
    pub gaps_ms: Vec<(&'static str, f64)>,
    /// What the history held.
    pub held: history::Held,
}

const CUT: Faults = Faults {
    cut: true,
    lost: 0,
    doubled: 0,
    behind: 0,
    delay_ms: 0,
    jitter_ms: 0,
    bytes_per_s: 0,
};

/// The machine's time since its start, as histories have it.
fn uptime() -> u64 {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    t.tv_sec as u64 * 1_000_000 + t.tv_nsec as u64 / 1_000
}

/// Plays one round; the fleet is kept for its history if it fails.
pub fn play(shape: &Shape, seed: u64, faults: usize, keep: Option<&Path>) -> Result<Round> {
    let mut fleet = Fleet::start(shape.clone(), seed)?;
    let mut round = Round::default();
    let played = faults_of(&mut fleet, shape, seed, faults, &mut round);
    let kept = keep.map(|k| k.join(format!("seed-{seed}")));
    if let (Err(e), Some(kept)) = (&played, &kept) {
        fleet.copy_to(kept)?;
        return Err(Error::other(format!("{e}; faults {:?}", round.faults)));
    }
    played?;
    let copy = kept.as_ref().map(|k| fleet.copy_to(k)).transpose();
    let (held, wrong) = fleet.judge()?;
    round.held = held;
    copy?;
    if let Some(first) = wrong.first() {
        return Err(Error::other(format!(
            "{first} ({} in all); faults {:?}",
            wrong.len(),
            round.faults
        )));
    }
    // A round in which nothing was done has shown nothing.
    if round.held.accepted == 0 || round.held.answers == 0 {
        return Err(Error::other(format!("nothing to judge: {:?}", round.held)));
    }
    Ok(round)
}

fn faults_of(
    fleet: &mut Fleet,
    shape: &Shape,
    seed: u64,
    faults: usize,
    round: &mut Round,
) -> Result<()> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    fleet.call()?;
    let (mut owner, mut term, _) = fleet.owned_after(0)?;
    fleet.effect_of(term)?;
    for _ in 0..faults {
        let kind = random.next_u32() % 9;
        let begun = uptime();
        let what = match kind {
            0 | 1 => {
                // Stopped past its lease, with calls and trials under way, and woken once another owns the duty.
                fleet.gateway(owner)?.freeze()?;
                "stopped"
            }
            2 => {
                fleet.kill(owner)?;
                "killed"
            }
            3 => {
                fleet.around(owner, CUT, Faults::default());
                "cut, nothing leaves it"
            }
            4 => {
                fleet.around(owner, Faults::default(), CUT);
                "cut, nothing comes to it"
            }
            5 => {
                fleet.around(owner, CUT, CUT);
                "cut off"
            }
            6 => {
                fleet.gateway(owner)?.end()?;
                "ended in order"
            }
            7 => {
                let faults = Faults {
                    lost: 30,
                    doubled: 0,
                    jitter_ms: 30,
                    ..Faults::default()
                };
                fleet.everywhere(faults);
                fleet.gateway(owner)?.freeze()?;
                "stopped, with 30% of frames lost"
            }
            _ => {
                for n in 0..shape.instances {
                    fleet.kill(n)?;
                }
                for n in 0..shape.instances {
                    fleet.run(n)?;
                }
                "all killed"
            }
        };
        round.faults.push(what);
        let (next, next_term, at) = fleet.owned_after(term)?;
        round
            .gaps_ms
            .push((what, (fleet.seen[at].at.saturating_sub(begun)) as f64 / 1e3));
        fleet.effect_of(next_term)?;
        // The old one wakes up, is heard again, or comes back.
        match kind {
            0 | 1 | 7 => {
                let from = fleet.seen.len();
                fleet.gateway(owner)?.thaw()?;
                let old = owner;
                let is = |s: &Seen| {
                    s.instance == old
                        && matches!(&s.note, Note::Ended { term: t, .. } if *t == term)
                };
                // It may have ended by itself before it was stopped.
                if !fleet.seen[..from].iter().any(is) {
                    fleet.until(from, "the end of the old lease", is)?;
                }
                fleet.everywhere(Faults::default());
            }
            2 => fleet.run(owner)?,
            6 => {
                fleet.doors[owner].store(0, Ordering::Relaxed);
                if let Some(mut g) = fleet.gateways[owner].take() {
                    g.wait()?;
                }
                fleet.run(owner)?;
            }
            3..=5 => fleet.everywhere(Faults::default()),
            _ => {}
        }
        (owner, term) = (next, next_term);
        // The next fault strikes whoever owns it by now.
        fleet.look()?;
        if let Some((o, t)) = fleet.owner().filter(|(_, t)| *t > term) {
            (owner, term) = (o, t);
        }
    }
    fleet.effect_of(term)?;
    Ok(())
}

/// What calls met.
#[derive(Debug)]
struct Calls {
    served: u64,
    all: u64,
    micros: hdrhistogram::Histogram<u64>,
}

/// The bytes of a call of a safe class.
fn call(id: u64, function: u64) -> String {
    format!(
        "POST /call/{function:016x}/trigger HTTP/1.1\r\nHost: lab\r\nX-Class: {SAFE}\r\nX-Org: franq-bajio\r\n\
         X-Correlation-Id: {id:016x}\r\nX-Deadline-Ms: 900\r\nX-Extras: lanes:4\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Calls at some gateways for a while, four callers each.
fn calls_at(fleet: &Fleet, gateways: &[usize], seconds: u64) -> Result<Calls> {
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
                let begun = Instant::now();
                let answer = caller.exchange(call(id, (all.all * 7 + c) % 24).as_bytes());
                all.all += 1;
                all.served += u64::from(answer.is_ok_and(|a| status(&a) == 200));
                all.micros
                    .record(begun.elapsed().as_micros() as u64)
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

/// `calls`: what calls meet with the council off, on and without a majority, in turns, at the same two gateways.
pub fn calls(seconds: u64, turns: u64) -> Result<bool> {
    let off = Fleet::start(
        Shape {
            council: false,
            ..Shape::default()
        },
        1,
    )?;
    let mut on = Fleet::start(Shape::default(), 2)?;
    let mut lost = Fleet::start(Shape::default(), 3)?;
    on.owned_after(0)?;
    let (owner, ..) = lost.owned_after(0)?;
    let at = [owner, (owner + 1) % 5];
    for n in (0..5).filter(|n| !at.contains(n)) {
        lost.kill(n)?;
    }
    let mut sums: BTreeMap<&str, Vec<Calls>> = BTreeMap::new();
    for _ in 0..turns {
        for (what, fleet) in [("off", &off), ("on", &on), ("without a majority", &lost)] {
            sums.entry(what)
                .or_default()
                .push(calls_at(fleet, &at, seconds)?);
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

/// `gain`: what a silent worker costs a fleet with the duty `trials` and without a council, one fleet after the other.
pub fn gain(instances: usize, seconds: u64) -> Result<bool> {
    for council in [false, true] {
        let voters = instances.min(5);
        let mut fleet = Fleet::start(
            Shape {
                council,
                instances,
                voters,
                ..Shape::default()
            },
            4,
        )?;
        if council {
            fleet.owned_after(0)?;
        }
        let all: Vec<usize> = (0..instances).collect();
        // Copies are known first.
        calls_at(&fleet, &all, 2)?;
        fleet.workers[0].set_silent(true);
        let met = calls_at(&fleet, &all, seconds)?;
        let (pings, _, lost) = fleet.workers[0].asked();
        fleet.workers[0].set_silent(false);
        let after = calls_at(&fleet, &all, seconds)?;
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

/// `owners`: rounds from a seed on, and what came of them.
pub fn run(
    shape: &Shape,
    rounds: u64,
    seed: u64,
    faults: usize,
    keep: Option<&Path>,
) -> Result<bool> {
    let (mut passed, mut failed) = (0, 0);
    let mut gaps: BTreeMap<&'static str, Vec<f64>> = BTreeMap::new();
    for seed in seed..seed + rounds {
        match play(shape, seed, faults, keep) {
            Ok(round) => {
                passed += 1;
                let h = &round.held;
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
            shape.lease_ms
        );
    }
    println!("{passed} passed, {failed} failed");
    Ok(failed == 0)
}
