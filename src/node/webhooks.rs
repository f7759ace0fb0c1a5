//! Drives the second front: calls to the store and the core, deliveries to portals. It decides nothing: who may go
//! is [`Delivery`]'s, what is kept the store's, what may be taken [`Inbound`]'s.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use calloop::channel;
use slotmap::{new_key_type, SecondaryMap, SlotMap};

use super::copies::{step, Asked, Waits as Question};
use super::*;
use crate::api::{Arrival, Effect, RequestId};
use crate::config::{ConfigError, Webhooks};
use crate::core::Call;
use crate::delivery::networks::Networks;
use crate::delivery::schedule::Schedule;
use crate::delivery::verdict::{Dead, Report, State};
use crate::delivery::{Caps, Delivery, EndpointId, Input, Output, Seq, Waiting};
use crate::front::http::{self, plain, Bad};
use crate::front::webhook::answer::{self, Progress};
use crate::front::webhook::inbound::{Inbound, Job};
use crate::front::webhook::message::{self, Outcome};
use crate::front::webhook::replay::{self, Replays};
use crate::net::KEPT_FRAME;
use crate::replication::error::Refusal;
use crate::replication::wire::Told;
use crate::replication::{Epoch, Name, Place, ShardId};
use crate::store::disk::Disk;
use crate::store::records::*;
use crate::store::recovery::{fate, Fate};
use crate::store::shared::Shared;
use crate::store::space::Memory;
use crate::store::tables::{Found, Tables};
use crate::store::writer::Writer;
use crate::tenancy::{Endpoint, COMPLETED};

new_key_type! {
    /// The slot of a call that came as a webhook.
    pub(super) struct JobKey;
}

/// An idle connection to a portal is kept for this long.
const PORTAL_IDLE: Micros = 10_000_000;
/// Idle connections kept to one endpoint.
const MOST_IDLE: usize = 4;
/// How long an attempt may wait for its record before its worker is asked no more: well under the time within which
/// a worker that drains may still be sent something.
const STALE: Micros = 250_000;
/// Records that one pass of retention looks at, and the pauses between passes.
const RETAINED: usize = 256;
const RETAIN_SOON: Micros = 50_000;
const RETAIN_LATER: Micros = 5_000_000;
/// Questions to the store that may be open before nothing new is taken.
const MOST_ASKED: usize = 8192;
/// How long after the last call the disk is waited for at the end.
const LAST_WORD: Micros = 2_000_000;

/// Identities of one shard beyond which those that are over are let go of.
pub(super) const MOST_MARKS: usize = 65_536;

/// Who is owed the word that a call is taken.
#[derive(Clone, Debug)]
pub(super) enum Caller {
    /// A caller of this gateway.
    Here(ConnKey),
    /// Another gateway, or this one, by the number of its question.
    Gateway(Name, u64),
}

/// A connection to a portal.
#[derive(Debug)]
pub(super) struct PortalLink {
    endpoint: EndpointId,
    address: SocketAddr,
    /// The message that is out on it, and since when.
    current: Option<(Seq, Micros)>,
    /// What is known of the answer before its end.
    status: Option<(u16, Option<Micros>)>,
}

impl PortalLink {
    /// Whether nothing is out on it.
    pub(super) fn is_idle(&self) -> bool {
        self.current.is_none()
    }

    /// Whether not one byte of what is out on it has left.
    pub(super) fn untouched(&self, out: &net::Outbox) -> bool {
        self.current.is_some_and(|(seq, _)| out.untouched(seq.0))
    }
}

/// A call whose answer is owed.
#[derive(Debug)]
struct Held {
    seq: Seq,
    job: Job,
    id: Rc<str>,
    /// The call in the core, while it runs.
    request: Option<RequestKey>,
}

/// A call that must not run twice, by the identity that workers are told.
#[derive(Debug)]
struct Guard {
    seq: Seq,
    /// Whether an attempt is not proved never to have run.
    ran: bool,
}

/// An attempt that waits for its record.
#[derive(Debug)]
struct Waits {
    worker: WorkerId,
    id: Rc<str>,
    class: ClassId,
    function: FunctionId,
    expires: Micros,
    body: Rc<[u8]>,
    since: Micros,
}

/// What a question to the store was for.
#[derive(Debug)]
enum Ask {
    Take {
        caller: Caller,
        call: Box<Call<Job>>,
        seq: Seq,
        mark: Mark,
    },
    Go(AttemptKey),
    /// Messages that may wait now.
    Publish,
    Begin(Seq),
    Fetch(EndpointId),
    Purge(EndpointId),
    Retain,
    Call {
        conn: ConnKey,
        id: String,
    },
    Admin {
        conn: ConnKey,
        limit: Option<usize>,
        key: Option<(String, String)>,
    },
    Quiet,
    /// The disk's own number.
    Disk,
    /// A record or a snapshot of a shard.
    Record(ShardId, Option<u64>),
    /// A shard's content, for a copy.
    Shard(ShardId, Name),
    /// What stands of a shard.
    Lead(ShardId, Epoch),
    /// A callback whose attempt had begun, once that is settled.
    Settled(Waiting, State),
    /// How a call stands, for another gateway.
    State(Name, u64),
}

enum Backend {
    Memory(Box<(Memory, Tables)>),
    Disk(Writer),
}

impl std::fmt::Debug for Backend {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if matches!(self, Backend::Memory(_)) { "Memory" } else { "Disk" })
    }
}

/// Webhooks, while they are on.
#[derive(Debug)]
pub(super) struct Hooks {
    inbound: Inbound,
    delivery: Delivery,
    jobs: SlotMap<JobKey, Held>,
    backend: Backend,
    replies: VecDeque<(u64, Result<Reply, StoreError>)>,
    asked: HashMap<u64, Ask>,
    last_ask: u64,
    last_seq: u64,
    /// Messages whose attempt is being made, and their endpoint.
    out: HashMap<Seq, Box<MessageRecord>>,
    idle: HashMap<EndpointId, Vec<ConnKey>>,
    guards: HashMap<Rc<str>, Guard>,
    guarded: SecondaryMap<AttemptKey, Rc<str>>,
    unrecorded: SecondaryMap<AttemptKey, Waits>,
    networks: Networks,
    schedule: Schedule,
    hung: Option<Micros>,
    pending: usize,
    answer_limit: Micros,
    retention: (Micros, u64),
    stopping: Option<Micros>,
    /// What is to be copied before it counts: the question's number, the shard, the record and how many disks it asks for.
    pub(super) shared: VecDeque<(u64, ShardId, Vec<u8>, usize)>,
    /// The epoch and the last number given in each shard that is led here.
    numbers: HashMap<ShardId, (Epoch, u32)>,
}

impl Hooks {
    /// Callbacks that wait in memory; those in a file need no room here.
    fn waiting(&self) -> usize {
        match &self.backend {
            Backend::Memory(both) => both.1.stat().waiting as usize,
            Backend::Disk(_) => 0,
        }
    }

    pub(super) fn durable(&self) -> bool {
        matches!(self.backend, Backend::Disk(_))
    }

    fn ask(&mut self, ask: Ask, op: Op) {
        self.ask_for(ask, op, 0);
    }

    /// Asks for something that is to stand on so many disks, if it is a shard's.
    fn ask_for(&mut self, ask: Ask, op: Op, want: usize) {
        self.last_ask += 1;
        let number = self.last_ask;
        self.asked.insert(number, ask);
        if let (Some(shard), Some(shared)) = (op.shard(), Shared::of(&op)) {
            match shared.pack() {
                Ok(bytes) => self.shared.push_back((number, shard, bytes, want)),
                Err(e) => self.replies.push_back((number, Err(e))),
            }
            return;
        }
        match &mut self.backend {
            Backend::Disk(writer) => writer.ask(number, op),
            Backend::Memory(both) => {
                let (space, tables) = &mut **both;
                let reply = tables.apply(space, op);
                self.replies.push_back((number, reply));
            }
        }
    }

    // ---- Shards ----

    /// What a question that is being kept is for, for tests that end the process there.
    pub(super) fn is_for(&self, number: u64) -> Option<&'static str> {
        match self.asked.get(&number)? {
            Ask::Take { .. } => Some("call recorded here"),
            Ask::Go(_) => Some("intent recorded here"),
            Ask::Begin(_) => Some("callback's intent recorded here"),
            Ask::Publish => Some("answer recorded here"),
            _ => None,
        }
    }

    /// Has the disk tell its number, and how often it was begun; with another one if it is to begin anew.
    pub(super) fn begin_disk(&mut self, id: u64, anew: bool) {
        self.ask(Ask::Disk, Op::BeginDisk(id.max(1), anew));
    }

    /// A record of a shard goes to the disk. One that cannot be read keeps its place, and does nothing.
    pub(super) fn keep_record(&mut self, shard: ShardId, place: Place, bytes: &[u8], ticket: Option<u64>) {
        let op = Shared::read(bytes).map_or(Op::Publish(Vec::new()), Shared::op);
        self.ask(Ask::Record(shard, ticket), Op::Shard(shard, place, Box::new(op)));
    }

    /// Another disk's content takes the place of what this one holds of a shard.
    pub(super) fn keep_shard(&mut self, shard: ShardId, place: Place, bytes: Vec<u8>) {
        self.ask(Ask::Record(shard, None), Op::WriteShard(shard, place, bytes));
    }

    /// What the disk holds of a shard is read for a copy.
    pub(super) fn read_shard(&mut self, shard: ShardId, to: Name) {
        self.ask(Ask::Shard(shard, to), Op::ReadShard(shard));
    }

    /// A shard is led here: what stands of it is read.
    pub(super) fn lead_shard(&mut self, shard: ShardId, epoch: Epoch) {
        self.ask(Ask::Lead(shard, epoch), Op::Lead(shard));
    }

    /// Numbers of a shard are given here under an epoch.
    pub(super) fn numbers_of(&mut self, shard: ShardId, epoch: Epoch) {
        self.numbers.insert(shard, (epoch, 0));
    }

    /// A shard is led here no more: nothing of it is run or delivered here. Calls to be given up.
    pub(super) fn rest_shard(&mut self, now: Micros, shard: ShardId) -> Vec<RequestKey> {
        self.numbers.remove(&shard);
        let mut over = Vec::new();
        self.jobs.retain(|_, held| {
            let goes = held.seq.shard() == shard;
            if goes {
                self.guards.remove(&held.id);
                over.extend(held.request);
            }
            !goes
        });
        for seq in self.delivery.of_shard(shard) {
            self.out.remove(&seq);
            self.delivery.handle(now, Input::Gone(seq));
        }
        self.ask(Ask::Quiet, Op::Rest(shard));
        over
    }

    /// Callbacks whose attempt had begun where their shard was led before: by their class they wait again, or nobody can tell.
    pub(super) fn settle(&mut self, now: Micros, begun: Vec<(Waiting, Micros)>) {
        for (mut w, at) in begun {
            let (state, attempt) = crate::store::recovery::settled(&mut w, at, now);
            self.ask(Ask::Settled(w, state), Op::Ended(Box::new(w), state, Some(attempt)));
        }
    }

    /// Callbacks wait.
    pub(super) fn wait(&mut self, now: Micros, waits: Vec<Waiting>) {
        waits.into_iter().for_each(|w| self.delivery.handle(now, Input::Waits(w)));
    }

    /// How a call stands, for another gateway.
    pub(super) fn ask_state(&mut self, serial: u64, id: String, from: Name, number: u64) {
        self.ask(Ask::State(from, number), Op::Call(serial, id));
    }

    /// The next number in a shard, or of this gateway's own.
    fn seq_in(&mut self, shard: ShardId) -> Seq {
        match self.numbers.get_mut(&shard) {
            Some((epoch, last)) => {
                *last += 1;
                Seq::of_shard(shard, *epoch, *last)
            }
            None => self.seq(),
        }
    }

    fn seq(&mut self) -> Seq {
        self.last_seq += 1;
        Seq(self.last_seq)
    }

    /// Whether nothing is left that the end of the process would lose or leave in doubt.
    pub(super) fn is_idle(&self, now: Micros) -> bool {
        let late = self.stopping.is_some_and(|t| now > t + LAST_WORD);
        let kept = if self.durable() {
            self.delivery.out() == 0 && (self.asked.is_empty() || late)
        } else {
            self.waiting() == 0 && self.asked.is_empty()
        };
        self.jobs.is_empty() && kept
    }

    /// What can be seen of an endpoint.
    pub(super) fn health(&self, id: EndpointId) -> Option<crate::delivery::Health> {
        self.delivery.health(id)
    }

    /// Notes a reply of the store's thread.
    pub(super) fn reply(&mut self, number: u64, reply: Result<Reply, StoreError>) {
        self.replies.push_back((number, reply));
    }
}

fn store_error(path: PathBuf, e: &StoreError) -> NodeError {
    NodeError::Operator(ConfigError::Parse(path, e.to_string()))
}

impl Node {
    /// Sets webhooks up, and goes on with what the store holds.
    pub(super) fn set_up_webhooks(&mut self, now: Micros, w: Webhooks) -> Result<(), NodeError> {
        let seed = self.config.seed;
        let most_bytes = w.store_mb << 20;
        let mut found = Found::default();
        let backend = match &w.store {
            Some(path) => {
                let (disk, f) =
                    Disk::open(path, most_bytes, now).map_err(|e| store_error(path.clone(), &e))?;
                found = f;
                let (tell, told) = channel::channel();
                let note = |event, _: &mut (), node: &mut Node| {
                    if let (channel::Event::Msg((number, reply)), Some(h)) = (event, &mut node.second.hooks) {
                        h.reply(number, reply);
                    }
                };
                self.handle.insert_source(told, note).map_err(|e| NodeError::Loop(e.error))?;
                let again = path.clone();
                // What a start would settle was settled then; what was begun since ends by its own report.
                let opener = move || Disk::reopen(&again, most_bytes);
                let answered = move |number, reply| {
                    // The loop is gone only at the end of the process.
                    let _ = tell.send((number, reply));
                };
                let writer = Writer::start(disk, Box::new(opener), Box::new(answered));
                Backend::Disk(
                    writer.map_err(|e| store_error(path.clone(), &StoreError::Disk(e.to_string())))?,
                )
            }
            None => {
                let mut space = Memory::default();
                let opened = Tables::open(&mut space, false, most_bytes, now);
                let (tables, _) = opened.map_err(|e| store_error(PathBuf::new(), &e))?;
                Backend::Memory(Box::new((space, tables)))
            }
        };
        let durable = w.store.is_some();
        let mut replays = match &w.replay_file {
            Some(path) => Replays::open(path, w.replay_entries, now)
                .map_err(|e| NodeError::Operator(ConfigError::Read(path.clone(), e)))?,
            None => Replays::new(w.replay_entries),
        };
        replays.load(&found.replays);
        let schedule = match (&w.schedule_s, durable) {
            (Some(pauses), _) => Schedule::from_seconds(pauses)
                .map_err(|e| NodeError::Operator(ConfigError::Value("webhooks.schedule_s", e.to_string())))?,
            (None, true) => Schedule::default(),
            (None, false) => Schedule::short(w.callback_window_ms * 1000),
        };
        // What waits in memory is bounded by what may be taken: all of it is known to delivery.
        let all =
            Caps { ready: usize::MAX / 2, loaded: usize::MAX / 2, soon: Micros::MAX / 2, ..Caps::default() };
        let caps = if durable { Caps::default() } else { all };
        let caps = Caps { out: w.portals, disable_after: w.disable_after_s * 1_000_000, ..caps };
        self.second.hooks = Some(Hooks {
            inbound: Inbound {
                tolerance_s: w.tolerance_s,
                started: (w.replay_file.is_none() && !durable).then_some(now),
                forgotten: found.forgotten,
                replays,
                seed,
                classes: self.config.settings.classes.clone(),
            },
            delivery: Delivery::new(caps, seed, now),
            jobs: SlotMap::with_key(),
            backend,
            replies: VecDeque::new(),
            asked: HashMap::new(),
            last_ask: 0,
            last_seq: found.next,
            out: HashMap::new(),
            idle: HashMap::new(),
            guards: HashMap::new(),
            guarded: SecondaryMap::new(),
            unrecorded: SecondaryMap::new(),
            networks: Networks::new(&w.allow_networks, &w.deny_networks),
            schedule,
            hung: None,
            pending: w.pending,
            answer_limit: w.callback_answer_ms * 1000,
            retention: (w.retention_days * 86_400_000_000, w.retention_mb << 20),
            stopping: None,
            shared: VecDeque::new(),
            numbers: HashMap::new(),
        });
        let names: Vec<String> = self.second.tenants.iter().map(|(name, _)| name.clone()).collect();
        names.iter().for_each(|name| self.tell_endpoints(now, name));
        self.listen(Kind::Webhook, w.listen)?;
        self.recover(now, found);
        if durable {
            self.core.hang(now + RETAIN_SOON, RETAIN);
        }
        Ok(())
    }

    /// Goes on with what the process before left: one row of the crash table for each call.
    fn recover(&mut self, now: Micros, found: Found) {
        let Some(hooks) = &mut self.second.hooks else { return };
        for (id, due) in &found.endpoints {
            if hooks.delivery.health(*id).is_some() {
                hooks.delivery.handle(now, Input::Stored(*id, *due));
            } else {
                hooks.ask(Ask::Purge(*id), Op::Purge(*id, RETAINED));
            }
        }
        self.core.counters.callbacks_unknown += found.unknown;
        let (mut run, mut refused, mut unknown) = (0, 0, 0);
        for call in found.calls {
            match self.go_on(now, call, found.stepped_back) {
                Fate::Run => run += 1,
                Fate::Unknown => unknown += 1,
                Fate::Refuse => refused += 1,
            }
        }
        if run + refused + unknown + found.unknown > 0 {
            let callbacks = found.unknown;
            tracing::info!(run, refused, unknown, callbacks, "went on with the calls of the process before");
        }
        if found.stepped_back {
            tracing::warn!("the clock shows less than when the store was last written");
        }
    }

    /// Goes on with a call that another process has taken: by its class and stage it runs, is refused, or nobody can tell.
    pub(super) fn go_on(&mut self, now: Micros, call: CallRecord, stepped_back: bool) -> Fate {
        let fate = fate(&call, now, stepped_back);
        let made = self.call_of(&call).filter(|_| !self.core.is_open(&call.worker_id));
        let Some(hooks) = &mut self.second.hooks else { return Fate::Refuse };
        let (job, id): (Job, Rc<str>) = (job_of(&call), call.worker_id.as_str().into());
        let key = hooks.jobs.insert(Held { seq: call.seq, job, id: id.clone(), request: None });
        match (fate, made) {
            (Fate::Run, Some(made)) => {
                if call.effect != Effect::Safe {
                    hooks.guards.insert(id, Guard { seq: call.seq, ran: false });
                }
                let request = self.core.call(now, made.with(Origin::Webhook(key)));
                self.runs(key, request);
                Fate::Run
            }
            (Fate::Unknown, _) => {
                self.call_back(now, key, &Outcome::Unknown);
                Fate::Unknown
            }
            // Its class or tenant is gone; it never ran, or may run again.
            _ => {
                self.call_back(now, key, &Outcome::Answered(Answer::Refused { retry_after: 0 }));
                Fate::Refuse
            }
        }
    }

    fn runs(&mut self, key: JobKey, request: RequestKey) {
        if let Some(held) = self.second.hooks.as_mut().and_then(|h| h.jobs.get_mut(key)) {
            held.request = Some(request);
        }
    }

    /// The call that a record is of; none if its class or tenant is not known here.
    fn call_of(&self, call: &CallRecord) -> Option<Call<Job>> {
        let place = Names::place(&self.config.names.classes, &call.class)?;
        let tenant = self.second.tenants.same(&call.tenant, call.serial)?.id;
        let arrival = Arrival {
            request: RequestId(0),
            class: ClassId(place as u8),
            tenant,
            function: FunctionId(call.function),
            expires: call.expires,
            work: call.work,
            memory_mb: call.memory_mb,
            lanes: call.lanes,
            load_time: call.load_time,
        };
        let id = call.worker_id.as_str().into();
        Some(Call { origin: job_of(call), id, body: call.body.clone().into(), arrival })
    }

    /// A call that another gateway, or a caller here, wants this primary to take.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn take_asked(
        &mut self,
        now: Micros,
        shard: ShardId,
        mut record: CallRecord,
        mark: Mark,
        until: Micros,
        want: usize,
        caller: Caller,
    ) -> Result<(), Refusal> {
        let unknown = |what: &str| Refusal::Unknown { what: what.into() };
        if now >= record.expires {
            return Err(Refusal::Unreached { shard });
        }
        if self.core.is_open(&record.worker_id) {
            return Err(Refusal::Seen);
        }
        let call = self.call_of(&record).ok_or(unknown("class or tenant"))?;
        let hooks = self.second.hooks.as_mut().ok_or(unknown("front"))?;
        if hooks.stopping.is_some() {
            return Err(Refusal::Leaving);
        }
        if hooks.jobs.len() >= hooks.pending || hooks.asked.len() >= MOST_ASKED {
            return Err(Refusal::Full);
        }
        let seq = hooks.seq_in(shard);
        record.seq = seq;
        let ask = Ask::Take { caller, call: Box::new(call), seq, mark };
        hooks.ask_for(ask, Op::Take(Box::new(record), mark, until), want);
        Ok(())
    }

    /// A caller's call is promised by whoever leads its shard.
    pub(super) fn promised_call(&mut self, now: Micros, conn: ConnKey, copies: u8) {
        self.core.counters.webhooks_taken += 1;
        let head = format!("X-Kept-In: store\r\nX-Copies: {copies}\r\n");
        self.answer_second(conn, now, |stays| http::response(202, &head, b"", stays));
    }

    /// A caller's call is not promised.
    pub(super) fn refused_call(&mut self, now: Micros, conn: ConnKey, mark: &Mark, why: &Refusal) {
        if let Some(hooks) = self.second.hooks.as_mut().filter(|_| *why != Refusal::Seen) {
            hooks.inbound.replays.forget(mark);
        }
        self.core.counters.webhooks_refused += 1;
        let (status, text) = match why {
            Refusal::Seen => (409, "already taken"),
            Refusal::TooLong { .. } => (413, "longer than a record may be"),
            Refusal::Unknown { .. } => (422, "unknown to the gateway that would take it"),
            Refusal::Fewer { .. } => (503, "held by fewer machines than it has to be"),
            Refusal::Full | Refusal::Busy { .. } | Refusal::Behind { .. } => {
                (503, "too many calls under way")
            }
            Refusal::Leaving => (503, "the gateway is about to end"),
            _ => (503, "nobody can promise it now"),
        };
        tracing::debug!(remedy = why.remedy(), "a call is not promised: {why}");
        self.answer_second(conn, now, |stays| refuse(&plain(status, text), stays));
    }

    /// Tells delivery of a tenant's endpoints as they are now.
    pub(super) fn tell_endpoints(&mut self, now: Micros, tenant: &str) {
        let (Some(hooks), Some(t)) = (&mut self.second.hooks, self.second.tenants.get(tenant)) else {
            return;
        };
        for e in t.endpoints.values() {
            hooks.delivery.handle(now, Input::Endpoint(e.id, e.plan(t.serial, &hooks.schedule)));
        }
    }

    /// Endpoints are no more.
    pub(super) fn forget_endpoints(&mut self, now: Micros, ids: &[EndpointId]) {
        for id in ids {
            let Some(hooks) = &mut self.second.hooks else { return };
            hooks.delivery.handle(now, Input::Removed(*id));
            for key in hooks.idle.remove(id).unwrap_or_default() {
                self.close(key, Ending::Shutdown);
            }
        }
    }

    // ---- Calls ----

    /// Takes a webhook, or turns it away; none while its answer waits for the store.
    pub(super) fn take_webhook(
        &mut self,
        key: ConnKey,
        r: &http::Request<'_>,
        stays: bool,
        now: Micros,
    ) -> Option<Vec<u8>> {
        let tenants = &self.second.tenants;
        let Some(hooks) = &mut self.second.hooks else { return Some(refuse(&plain(404, "off"), stays)) };
        if r.method == "GET" {
            return match hooks.inbound.ask(r, tenants, now) {
                Ok((serial, id)) if self.fleet.copies.is_some() => {
                    let tenant = r.path.strip_prefix("/webhooks/").and_then(|p| p.split_once('/'));
                    let mark = replay::mark(tenant.map_or("", |(t, _)| t), id);
                    let (id, shard) =
                        (id.to_owned(), self.fleet.copies.as_ref().map_or(0, |s| s.shard_of(&mark)));
                    self.ask_primary(shard, &Asked::State(serial, id.clone()), Question::State(key, id));
                    None
                }
                Ok((serial, id)) => {
                    let ask = Ask::Call { conn: key, id: id.to_owned() };
                    hooks.ask(ask, Op::Call(serial, id.to_owned()));
                    None
                }
                Err(bad) => Some(refuse(&bad, stays)),
            };
        }
        // Taken only with room for what follows: what got a 202 is owed a callback.
        let full = hooks.jobs.len() + hooks.waiting() + hooks.asked.len().saturating_sub(MOST_ASKED)
            >= hooks.pending;
        let taken = if full || hooks.asked.len() >= MOST_ASKED {
            Err(plain(503, "too many calls under way"))
        } else {
            hooks.inbound.take(r, tenants, &self.config.names, now)
        };
        match taken {
            // Answers on workers' connections are told apart by identity alone.
            Ok((call, ..)) if self.core.is_open(&call.id) => {
                Some(refuse(&plain(409, "already taken"), stays))
            }
            Ok((call, mark, until)) => {
                let (seq, job, a) = (hooks.seq(), &call.origin, &call.arrival);
                let record = CallRecord {
                    seq,
                    tenant: job.tenant.clone(),
                    serial: job.serial,
                    webhook_id: job.webhook_id.clone(),
                    worker_id: call.id.to_string(),
                    class: job.class.clone(),
                    effect: job.effect,
                    function: job.function.0,
                    expires: a.expires,
                    work: a.work,
                    memory_mb: a.memory_mb,
                    lanes: a.lanes,
                    load_time: a.load_time,
                    body: call.body.to_vec(),
                    order: job.order.clone(),
                    sent: None,
                };
                if let Some(shard) = self.fleet.copies.as_ref().map(|s| s.shard_of(&mark)) {
                    let left = record.expires.saturating_sub(now);
                    let asked = Asked::Take(Box::new(CallRecord { expires: left, ..record }), mark, until);
                    self.ask_primary(shard, &asked, Question::Take(key, mark));
                    return None;
                }
                let ask = Ask::Take { caller: Caller::Here(key), call: Box::new(call), seq, mark };
                hooks.ask(ask, Op::Take(Box::new(record), mark, until));
                None
            }
            Err(bad) => {
                self.core.counters.webhooks_refused += 1;
                Some(refuse(&bad, stays))
            }
        }
    }

    /// A call is kept, or not: it gets its 202 and goes to the module, or is turned away.
    fn taken(
        &mut self,
        now: Micros,
        caller: Caller,
        call: Call<Job>,
        seq: Seq,
        mark: Mark,
        kept: Result<Reply, StoreError>,
    ) {
        let Some(hooks) = &mut self.second.hooks else { return };
        if let Err(e) = kept {
            return match (caller, e) {
                (Caller::Here(conn), e) => {
                    hooks.inbound.replays.forget(&mark);
                    self.core.counters.webhooks_refused += 1;
                    let full = e == StoreError::Full;
                    let why = if full { "the store is full" } else { "the call cannot be kept" };
                    self.answer_second(conn, now, |stays| refuse(&plain(503, why), stays))
                }
                (Caller::Gateway(to, number), e) => {
                    let shard = seq.shard();
                    self.forget_mark(shard, &mark);
                    let why = match e {
                        StoreError::NotPromised(why) => why,
                        _ => Refusal::Unreached { shard },
                    };
                    self.tell_asker(to, number, Told::Refused(why));
                }
            };
        }
        let kept = if hooks.durable() { "store" } else { "memory" };
        let id = call.id.clone();
        if call.origin.effect != Effect::Safe && hooks.durable() {
            hooks.guards.insert(id.clone(), Guard { seq, ran: false });
        }
        let job = hooks.jobs.insert(Held { seq, job: call.origin.clone(), id, request: None });
        match caller {
            Caller::Here(conn) => {
                self.core.counters.webhooks_taken += 1;
                self.answer_second(conn, now, |stays| {
                    http::response(202, &format!("X-Kept-In: {kept}\r\n"), b"", stays)
                });
            }
            Caller::Gateway(to, number) => {
                step("call promised");
                let disks = self.disks_of(seq.shard());
                self.tell_asker(to, number, Told::Promised(disks));
            }
        }
        let request = self.core.call(now, call.with(Origin::Webhook(job)));
        self.runs(job, request);
    }

    /// An attempt of a call that must not run twice waits until it is recorded that it leaves.
    pub(super) fn wait_for_record(&mut self, now: Micros, command: &Command<Origin>) -> bool {
        let Some(hooks) = &mut self.second.hooks else { return false };
        let Command::Go { attempt, worker, id, class, function, expires, body } = command else {
            return false;
        };
        let Some(guard) = hooks.guards.get(id) else { return false };
        let seq = guard.seq;
        let waits = Waits {
            worker: *worker,
            id: id.clone(),
            class: *class,
            function: *function,
            expires: *expires,
            body: body.clone(),
            since: now,
        };
        hooks.guarded.insert(*attempt, id.clone());
        hooks.unrecorded.insert(*attempt, waits);
        hooks.ask(Ask::Go(*attempt), Op::Sent(seq, now));
        true
    }

    /// Whether an attempt still waited for its record: then it never left.
    pub(super) fn unrecorded(&mut self, attempt: AttemptKey) -> bool {
        self.second.hooks.as_mut().is_some_and(|h| h.unrecorded.remove(attempt).is_some())
    }

    fn recorded(&mut self, now: Micros, attempt: AttemptKey, kept: bool) {
        let Some(hooks) = &mut self.second.hooks else { return };
        let Some(w) = hooks.unrecorded.remove(attempt) else { return };
        if !kept || now > w.since + STALE {
            return self.done.push_back(Done::plain(
                Open::Attempt(attempt),
                Ending::Withdrawn,
                Left::Nothing,
            ));
        }
        step("intent promised");
        self.go(now, attempt, w.worker, w.id, w.class, w.function, w.expires, &w.body);
    }

    /// An attempt has ended; whether it is proved never to have run.
    pub(super) fn guarded_ended(&mut self, attempt: AttemptKey, never_ran: bool) {
        let Some(hooks) = &mut self.second.hooks else { return };
        let Some(id) = hooks.guarded.remove(attempt) else { return };
        let Some(guard) = hooks.guards.get_mut(&id) else { return };
        step("attempt answered");
        guard.ran |= !never_ran;
        let (seq, ran) = (guard.seq, guard.ran);
        if !ran {
            hooks.ask(Ask::Quiet, Op::Unsent(seq));
        }
    }

    /// A webhook's call has its final answer: it is kept with its messages, in place of the call.
    pub(super) fn call_back(&mut self, now: Micros, job: JobKey, outcome: &Outcome) {
        let Some(hooks) = &mut self.second.hooks else { return };
        let Some(held) = hooks.jobs.remove(job) else { return };
        hooks.guards.remove(&held.id);
        let body = message::event(COMPLETED, now, &message::completed(&held.job, outcome));
        let tenant = self.second.tenants.same(&held.job.tenant, held.job.serial);
        let mut messages = Vec::new();
        for e in tenant.iter().flat_map(|t| t.endpoints.values()).filter(|e| e.wants(COMPLETED)) {
            let shard = held.seq.shard();
            let mut m = new_message(hooks.seq_in(shard), e, COMPLETED, now, &body);
            m.id = format!("msg_{}", held.id);
            (m.tenant, m.serial) = (held.job.tenant.clone(), held.job.serial);
            m.waiting.effect = held.job.effect;
            m.call = Some(held.job.webhook_id.clone());
            // Each shard has its own order of a key.
            m.order = held.job.order.as_ref().filter(|_| e.ordered).map(|k| order(k) ^ u64::from(shard));
            messages.push((m, body.clone()));
        }
        if messages.is_empty() {
            self.core.counters.callbacks_undelivered += 1;
        }
        hooks.ask(Ask::Publish, Op::Answer(held.seq, outcome.name().into(), messages));
    }

    /// An operational event to those of a tenant's endpoints that want it.
    pub(super) fn tell_tenant(
        &mut self,
        now: Micros,
        tenant: &str,
        only: Option<&str>,
        kind: &str,
        data: &serde_json::Value,
    ) {
        let (Some(hooks), Some(t)) = (&mut self.second.hooks, self.second.tenants.get(tenant)) else {
            return;
        };
        let body = message::event(kind, now, data);
        let mut messages = Vec::new();
        for (name, e) in &t.endpoints {
            if only.map_or(e.wants(kind), |only| only == name) {
                let mut m = new_message(hooks.seq(), e, kind, now, &body);
                (m.tenant, m.serial) = (tenant.to_owned(), t.serial);
                messages.push((m, body.clone()));
            }
        }
        if !messages.is_empty() {
            hooks.ask(Ask::Publish, Op::Publish(messages));
        }
    }

    // ---- The store's replies and delivery's outputs ----

    /// Does one thing that the store or delivery asks for; whether there was one.
    pub(super) fn step_webhooks(&mut self, now: Micros) -> bool {
        let Some(hooks) = &mut self.second.hooks else { return false };
        if let Some((number, reply)) = hooks.replies.pop_front() {
            if let Some(ask) = hooks.asked.remove(&number) {
                self.replied(now, ask, reply);
            }
            return true;
        }
        if let Some(output) = hooks.delivery.output() {
            self.deliver(now, output);
            return true;
        }
        let next = hooks.delivery.next_deadline();
        if next != hooks.hung {
            if let Some(old) = hooks.hung {
                self.core.unhang(old, DELIVER);
            }
            hooks.hung = next;
            if let Some(at) = next {
                self.core.hang(at, DELIVER);
            }
        }
        false
    }

    /// Delivery's own deadline fell due.
    pub(super) fn tick_webhooks(&mut self, now: Micros) {
        if let Some(hooks) = &mut self.second.hooks {
            hooks.hung = None;
            hooks.delivery.handle(now, Input::Tick);
        }
    }

    fn replied(&mut self, now: Micros, ask: Ask, reply: Result<Reply, StoreError>) {
        let Some(hooks) = &mut self.second.hooks else { return };
        match ask {
            Ask::Take { caller, call, seq, mark } => self.taken(now, caller, *call, seq, mark, reply),
            Ask::Disk => self.disk_began(reply),
            Ask::Record(shard, ticket) => self.record_stored(shard, ticket, reply),
            Ask::Shard(shard, to) => self.shard_read(shard, to, reply),
            Ask::Lead(shard, epoch) => self.shard_taken_up(now, shard, epoch, reply),
            Ask::Settled(w, state) => {
                if reply.is_ok() && state == State::Waiting {
                    hooks.delivery.handle(now, Input::Waits(w));
                }
                self.now_wait(now, reply);
            }
            Ask::State(to, number) => {
                let told = match reply {
                    Ok(Reply::Call(state)) => Told::Content(postcard::to_stdvec(&state).unwrap_or_default()),
                    _ => Told::Refused(Refusal::Unknown { what: "call".into() }),
                };
                self.tell_asker(to, number, told);
            }
            Ask::Go(attempt) => self.recorded(now, attempt, reply.is_ok()),
            Ask::Publish | Ask::Quiet => self.now_wait(now, reply),
            Ask::Begin(seq) => match reply {
                Ok(Reply::Begun(Some(both))) => {
                    step("callback's intent promised");
                    self.attempt(now, both.0, &both.1)
                }
                Ok(_) => hooks.delivery.handle(now, Input::Gone(seq)),
                Err(_) => hooks.delivery.handle(now, Input::Ended(seq, Report::VOID)),
            },
            Ask::Fetch(id) => match reply {
                Ok(Reply::Fetched(all, next)) => hooks.delivery.handle(now, Input::Fetched(id, all, next)),
                // The disk is sick: asked again after a while, and nothing known is lost by it.
                _ => hooks.delivery.handle(now, Input::Fetched(id, Vec::new(), Some(now + 1_000_000))),
            },
            Ask::Purge(id) => {
                if matches!(reply, Ok(Reply::More(true))) {
                    hooks.ask(Ask::Purge(id), Op::Purge(id, RETAINED));
                }
            }
            Ask::Retain => {
                let (expired, forward, more) = match reply {
                    Ok(Reply::Retained(expired, forward, more)) => (expired, forward, more),
                    _ => (Vec::new(), Vec::new(), false),
                };
                forward.into_iter().for_each(|w| hooks.delivery.handle(now, Input::Waits(w)));
                for seq in expired {
                    hooks.delivery.handle(now, Input::Gone(seq));
                    self.core.counters.callbacks_undelivered += 1;
                }
                self.core.hang(now + if more { RETAIN_SOON } else { RETAIN_LATER }, RETAIN);
            }
            Ask::Call { conn, id } => {
                let body = match reply {
                    Ok(Reply::Call(state)) => Ok(state),
                    _ => Err(plain(503, "the store cannot be read")),
                };
                self.answer_state(now, conn, &id, body);
            }
            Ask::Admin { conn, limit, key } => {
                let waits = match &reply {
                    Ok(Reply::Waits(all)) => all.clone(),
                    _ => Vec::new(),
                };
                self.now_wait(now, Ok(Reply::Waits(waits)));
                self.answer_asked(now, conn, limit, key, reply);
            }
        }
    }

    /// Tells a caller how its call stands.
    pub(super) fn answer_state(
        &mut self,
        now: Micros,
        conn: ConnKey,
        id: &str,
        body: Result<Option<CallState>, Bad>,
    ) {
        self.answer_second(conn, now, |stays| match body {
            Ok(Some(state)) => {
                let outcome = state.outcome.as_deref().unwrap_or("open");
                let body = serde_json::json!({ "call": id, "outcome": outcome }).to_string();
                http::response(200, "Content-Type: application/json\r\n", body.as_bytes(), stays)
            }
            Ok(None) => refuse(&plain(404, "no such call"), stays),
            Err(bad) => refuse(&bad, stays),
        });
    }

    fn now_wait(&mut self, now: Micros, reply: Result<Reply, StoreError>) {
        let (Some(hooks), Ok(Reply::Waits(all))) = (&mut self.second.hooks, reply) else { return };
        all.into_iter().for_each(|w| hooks.delivery.handle(now, Input::Waits(w)));
    }

    /// A pass of retention is due.
    pub(super) fn retain(&mut self, now: Micros) {
        let Some(hooks) = &mut self.second.hooks else { return };
        let (age, bytes) = hooks.retention;
        hooks.ask(Ask::Retain, Op::Retain(now, age, bytes, RETAINED));
    }

    fn deliver(&mut self, now: Micros, output: Output) {
        let Some(hooks) = &mut self.second.hooks else { return };
        match output {
            Output::Begin { seq, recorded, .. } => hooks.ask(Ask::Begin(seq), Op::Begin(seq, recorded, now)),
            Output::Fetch(id, limit) => hooks.ask(Ask::Fetch(id), Op::Fetch(id, limit)),
            Output::Purge(id) => hooks.ask(Ask::Purge(id), Op::Purge(id, RETAINED)),
            Output::Keep { message, state, attempt } => {
                let record = hooks.out.remove(&message.seq);
                let attempt = attempt.map(|report| AttemptRecord {
                    at: now,
                    took: record.as_ref().map_or(0, |r| now.saturating_sub(r.waiting.due)),
                    ending: report.ending.name().into(),
                    status: report.status,
                    may_have_arrived: report.may_have_arrived(),
                });
                if let (Some(r), Some(a)) = (&record, &attempt) {
                    let _span = tracing::debug_span!("delivery", tenant = r.tenant, message = r.id).entered();
                    let (endpoint, state) = (message.endpoint.0, state.name());
                    tracing::debug!(
                        endpoint,
                        status = a.status,
                        ending = a.ending,
                        state,
                        "an attempt has ended"
                    );
                }
                hooks.ask(Ask::Publish, Op::Ended(Box::new(message), state, attempt));
                if state.is_over() {
                    self.count(&message, state);
                    let record = record.filter(|r| r.kind == COMPLETED && matches!(state, State::Dead(_)));
                    if let Some(r) = record.filter(|_| state != State::Dead(Dead::Gone)) {
                        let data =
                            serde_json::json!({ "message": r.id, "call": r.call, "state": state.name() });
                        self.tell_tenant(now, &r.tenant, None, "message.exhausted", &data);
                    }
                }
            }
            Output::Disabled(id, why) => {
                let Some((tenant, name)) = self.second.tenants.disable(id) else { return };
                tracing::warn!(tenant, endpoint = name, why, "an endpoint is switched off");
                self.keep_tenants();
                let data = serde_json::json!({ "endpoint": name, "why": why });
                self.tell_tenant(now, &tenant, None, "endpoint.disabled", &data);
            }
        }
    }

    fn count(&mut self, message: &Waiting, state: State) {
        let counters = &mut self.core.counters;
        match state {
            State::Delivered => counters.callbacks_delivered += 1,
            _ if message.ran.is_some() => counters.callbacks_unknown += 1,
            _ => counters.callbacks_undelivered += 1,
        }
    }

    // ---- Connections to portals ----

    /// Makes an attempt at a message, on a connection that is idle or a new one.
    fn attempt(&mut self, now: Micros, mut record: MessageRecord, body: &[u8]) {
        let Some(hooks) = &mut self.second.hooks else { return };
        let (seq, id) = (record.waiting.seq, record.waiting.endpoint);
        let tenant = self.second.tenants.same(&record.tenant, record.serial);
        let Some((tenant, e)) = tenant.and_then(|t| t.endpoint(id).map(|(_, e)| (t, e))) else {
            // Removed at this very moment; its end is kept by the removal.
            return hooks.delivery.handle(now, Input::Ended(seq, Report::VOID));
        };
        let (address, secrets) = (e.portal.address, tenant.signing(e, now));
        let failed = |ending| Report { ending, left: Left::Nothing, status: None, advice: None };
        if !hooks.networks.allows(address.ip()) || secrets.is_empty() {
            // Nothing is sent where the operator does not allow it, or unsigned.
            return hooks.delivery.handle(now, Input::Ended(seq, failed(Ending::NeverUp)));
        }
        // One that must not come twice has a connection of its own: an idle one may be at its end unseen.
        let reuse = record.waiting.effect == Effect::Safe;
        let bytes = message::request(&e.portal, &record.id, &secrets, now, body, reuse);
        record.waiting.due = now;
        hooks.out.insert(seq, Box::new(record));
        let deadline = now + hooks.answer_limit;
        let idle = hooks.idle.get_mut(&id).filter(|_| reuse).and_then(Vec::pop);
        let key = match idle {
            Some(key) => Ok(key),
            None => {
                let link = PortalLink { endpoint: id, address, current: None, status: None };
                net::connect(address).and_then(|s| self.add(s, false, Role::Portal(link)))
            }
        };
        match key {
            Ok(key) => {
                let Some((conn, Role::Portal(link))) = self.conns.get_mut(key) else { return };
                (link.current, link.status) = (Some((seq, now)), None);
                conn.out.push(seq.0, bytes);
                self.set_deadline(key, Some(deadline));
                self.dirty.push(key);
            }
            Err(e) => {
                let ending = match e.kind() {
                    io::ErrorKind::ConnectionRefused => Ending::Refused,
                    // Out of descriptors: nothing is known of the portal.
                    _ if e.raw_os_error().is_some_and(|n| n == 24 || n == 23) => Ending::Overflow,
                    _ => Ending::NeverUp,
                };
                if let Some(hooks) = &mut self.second.hooks {
                    hooks.delivery.handle(now, Input::Ended(seq, failed(ending)));
                }
            }
        }
    }

    /// Something has come from a portal.
    pub(super) fn on_portal(&mut self, key: ConnKey, now: Micros) {
        let Some((conn, Role::Portal(link))) = self.conns.get_mut(key) else { return };
        let Some((seq, _)) = link.current else {
            // It says something unasked.
            if !conn.input.bytes().is_empty() {
                self.close(key, Ending::Malformed);
            }
            return;
        };
        match answer::read(conn.input.bytes(), now) {
            Progress::Waits => {}
            Progress::Status(status, advice) => link.status = Some((status, advice)),
            Progress::Malformed => self.close(key, Ending::Malformed),
            Progress::Whole(status, advice, size, keep) => {
                conn.input.consume(size);
                (link.current, link.status) = (None, None);
                let (id, address) = (link.endpoint, link.address);
                // An answer ahead of the request's end: what is left of it would be read as the next request.
                let clean = keep && conn.out.is_empty() && conn.input.bytes().is_empty() && !conn.ended;
                self.portal_ended(now, seq, answered(status, advice));
                let Some(hooks) = &mut self.second.hooks else { return };
                let tenants = &self.second.tenants;
                let same = |e: &Endpoint| e.id == id && e.portal.address == address;
                let known = tenants.iter().any(|(_, t)| t.endpoint(id).is_some_and(|(_, e)| same(e)));
                let idle = hooks.idle.entry(id).or_default();
                if clean && known && idle.len() < MOST_IDLE && hooks.stopping.is_none() {
                    idle.push(key);
                    self.set_deadline(key, Some(now + PORTAL_IDLE));
                } else {
                    if idle.is_empty() {
                        hooks.idle.remove(&id);
                    }
                    self.close(key, Ending::Closed);
                }
            }
        }
    }

    /// A portal's connection has ended.
    pub(super) fn portal_closed(
        &mut self,
        now: Micros,
        key: ConnKey,
        link: &PortalLink,
        ending: Ending,
        untouched: bool,
    ) {
        if let Some(hooks) = &mut self.second.hooks {
            if let Some(idle) = hooks.idle.get_mut(&link.endpoint) {
                idle.retain(|k| *k != key);
                if idle.is_empty() {
                    hooks.idle.remove(&link.endpoint);
                }
            }
        }
        let Some((seq, _)) = link.current else { return };
        let report = match link.status {
            // Its head told the answer; what was missing is of no use to anybody.
            Some((status, advice)) => answered(status, advice),
            None => {
                let left = if untouched { Left::Nothing } else { Left::Some };
                Report { ending, left, status: None, advice: None }
            }
        };
        self.portal_ended(now, seq, report);
    }

    fn portal_ended(&mut self, now: Micros, seq: Seq, report: Report) {
        step("callback answered");
        if let Some(hooks) = &mut self.second.hooks {
            hooks.delivery.handle(now, Input::Ended(seq, report));
        }
    }

    /// Nothing more is begun towards portals: what waits goes on at the next start, what is out ends now and
    /// follows its class. Without a store all of it is awaited as before.
    pub(super) fn stop_webhooks(&mut self, now: Micros) {
        let Some(hooks) = self.second.hooks.as_mut().filter(|h| h.durable()) else { return };
        hooks.stopping = Some(now);
        hooks.delivery.handle(now, Input::Stop);
        let portals: Vec<ConnKey> =
            self.conns.iter().filter(|(_, (_, r))| matches!(r, Role::Portal(_))).map(|(k, _)| k).collect();
        portals.into_iter().for_each(|key| self.close(key, Ending::Shutdown));
    }

    // ---- Clients of the second front ----

    /// Asks the store for an administrator.
    pub(super) fn ask_for_admin(
        &mut self,
        conn: ConnKey,
        op: Op,
        key: Option<(String, String)>,
    ) -> Result<(), Bad> {
        let hooks = self.second.hooks.as_mut().ok_or(plain(404, "webhooks are off"))?;
        let limit = match &op {
            Op::Messages(filter) => Some(filter.limit),
            _ => None,
        };
        hooks.ask(Ask::Admin { conn, limit, key }, op);
        Ok(())
    }
}

fn answered(status: u16, advice: Option<Micros>) -> Report {
    let ending = if (200..300).contains(&status) { Ending::Served } else { Ending::Failed };
    Report { ending, left: Left::Some, status: Some(status), advice }
}

fn job_of(call: &CallRecord) -> Job {
    Job {
        tenant: call.tenant.clone(),
        serial: call.serial,
        webhook_id: call.webhook_id.clone(),
        class: call.class.clone(),
        effect: call.effect,
        function: FunctionId(call.function),
        order: call.order.clone(),
    }
}

fn order(key: &str) -> u64 {
    let mark = crate::front::webhook::replay::mark("", key);
    mark.iter().take(8).fold(0, |n, b| n << 8 | u64::from(*b))
}

fn new_message(seq: Seq, e: &Endpoint, kind: &str, now: Micros, body: &[u8]) -> MessageRecord {
    MessageRecord {
        waiting: Waiting {
            seq,
            endpoint: e.id,
            due: now,
            effect: Effect::Safe,
            ran: None,
            tries: 0,
            size: body.len() as u32,
        },
        state: State::Waiting,
        tenant: String::new(),
        serial: 0,
        id: format!("msg_{:016x}", seq.0),
        kind: kind.to_owned(),
        call: None,
        created: now,
        order: None,
        acknowledged: None,
    }
}

/// The bytes of a refusal.
pub(super) fn refuse(bad: &Bad, stays: bool) -> Vec<u8> {
    let extra = if bad.status == 503 {
        "Content-Type: text/plain\r\nRetry-After: 1\r\n"
    } else {
        "Content-Type: text/plain\r\n"
    };
    http::response(bad.status, extra, bad.why.as_bytes(), stays && !bad.fatal)
}

impl Node {
    /// Writes the answer that a client of the second front is owed, and reads on.
    pub(super) fn answer_second(&mut self, key: ConnKey, now: Micros, bytes: impl FnOnce(bool) -> Vec<u8>) {
        let accepting = self.ops.life.keeps(now);
        let Some((conn, Role::Client { open, keep, .. })) = self.conns.get_mut(key) else { return };
        *open = None;
        conn.idle = now;
        let stays = *keep && accepting;
        conn.out.push(KEPT_FRAME, bytes(stays));
        conn.closing = !stays;
        self.set_deadline(key, Some(now + CLIENT_IDLE));
        self.dirty.push(key);
        self.on_second(key, now);
    }
}
