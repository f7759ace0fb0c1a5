//! Combines membership, observations, reputation and the wire format in one state machine.
//!
//! Inputs are datagrams and the outcomes of local attempts; outputs are datagrams, advice for the
//! decision module and membership changes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use super::budget::Budget;
use super::keys::Keys;
use super::observations::{HealthVerdict, Observation, Observations, OBSERVATION_LIFETIME};
use super::reputation::{Bounds, HealthAdvice, Reputation};
use super::swim::{self, MemberState, Message, Record, Swim};
use super::wire::{self, Decoder, SealedObservation, MAX_OBSERVATIONS, MTU, SKEW};
use crate::api::{Micros, WorkerId};

const SECOND: Micros = 1_000_000;
/// Time over which local outcomes are aggregated before they are sent.
const OBSERVATION_WINDOW: Micros = SECOND;
/// Number of datagrams in which an instance includes the same sealed observation.
const MAX_RELAYS: u32 = 6;
/// Maximum number of sealed observations waiting to be sent.
const MAX_RELAY_QUEUE: usize = 512;

/// Outcome of a local attempt at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The worker answered, with any result.
    Answered,
    /// The attempt failed before its timeout.
    Failed,
    /// The worker did not answer before the timeout.
    TimedOut,
    /// The connection was refused or could not be established.
    Refused,
}

/// Settings of a [`Group`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance's name.
    pub name: String,
    /// Address at which other members reach this instance.
    pub address: SocketAddr,
    /// Maximum outgoing bytes per second.
    pub bytes_per_s: u32,
    /// Maximum outgoing datagrams per second.
    pub datagrams_per_s: u32,
    /// Failure detection settings.
    pub swim: swim::Settings,
    /// Limits on the effect of other instances' observations.
    pub bounds: Bounds,
}

/// Events that the group handles.
#[derive(Debug)]
pub enum Input<'a> {
    /// A datagram arrived from this address.
    Datagram(SocketAddr, &'a [u8]),
    /// A local attempt at a worker ended.
    Outcome(WorkerId, AttemptOutcome),
    /// The current set of ready workers.
    Ready(BTreeSet<WorkerId>),
    /// Members stored by the previous run, and seed addresses.
    KnownMembers(Vec<Record>, Vec<SocketAddr>),
    /// Replaces the keys.
    Keys(Keys),
    /// The deadline from [`Group::next_deadline`] has passed.
    Tick,
    /// Announces a graceful departure.
    Leave,
}

/// Actions for the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram to this address.
    Datagram(SocketAddr, Vec<u8>),
    /// Pass advice about a worker to the decision module.
    Advice(WorkerId, HealthAdvice),
    /// A member's state changed.
    Changed(String, MemberState),
    /// The list of members to store for the next start changed.
    StoreMembers,
}

/// A member as shown by the administration API.
#[derive(Clone, Debug, serde::Serialize)]
pub struct PeerView {
    /// The member's name.
    pub name: String,
    /// The member's address.
    pub address: SocketAddr,
    /// Name of the member's state.
    #[serde(rename = "standing")]
    pub state: &'static str,
    /// The member's incarnation.
    pub incarnation: u64,
    /// Weight of the member's observations at this instance.
    pub weight: f64,
    /// Time of the last message from the member, in Unix microseconds.
    pub heard: Micros,
}

/// One instance's view of the group.
#[derive(Clone, Debug)]
pub struct Group {
    settings: Settings,
    keys: Keys,
    swim: Swim,
    observations: Observations,
    reputation: Reputation,
    opener: Decoder,
    budget: Budget,
    number: u64,
    ready: BTreeSet<WorkerId>,
    window: BTreeMap<WorkerId, Observation>,
    window_ends: Micros,
    /// Workers that this instance last reported as unhealthy; their recovery is worth reporting.
    reported_unhealthy: BTreeSet<WorkerId>,
    /// Sealed observations to send, by origin and window end, each with its number of sends.
    relay_queue: BTreeMap<(String, Micros), (u32, SealedObservation)>,
    outputs: VecDeque<Output>,
    /// Number of bytes sent.
    pub sent_bytes: u64,
    /// Number of datagrams sent.
    pub sent_datagrams: u64,
}

impl Group {
    /// Creates a group that contains only this instance. The first incarnation is the current time,
    /// which exceeds the incarnations of earlier runs.
    pub fn new(settings: Settings, keys: Keys, seed: u64, now: Micros) -> Group {
        let own = wire::seal_record(&keys, &settings.name, settings.address, now, false);
        Group {
            swim: Swim::new(settings.swim, own, seed, now),
            observations: Observations::default(),
            reputation: Reputation::new(settings.bounds),
            opener: Decoder::default(),
            budget: Budget::new(settings.bytes_per_s, settings.datagrams_per_s, now),
            number: now,
            ready: BTreeSet::new(),
            window: BTreeMap::new(),
            window_ends: now + OBSERVATION_WINDOW,
            reported_unhealthy: BTreeSet::new(),
            relay_queue: BTreeMap::new(),
            outputs: VecDeque::new(),
            sent_bytes: 0,
            sent_datagrams: 0,
            settings,
            keys,
        }
    }

    /// Returns the next pending action, if any.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Returns the time of the next [`Input::Tick`].
    pub fn next_deadline(&self) -> Option<Micros> {
        let swim = self.swim.next_deadline();
        Some(swim.map_or(self.window_ends, |t| t.min(self.window_ends)))
    }

    /// Returns the member records to store for the next start.
    pub fn members_to_store(&self) -> Vec<Record> {
        self.swim
            .members()
            .filter(|m| m.state <= MemberState::Suspect)
            .map(|m| m.record)
            .collect()
    }

    /// Returns all members except this instance.
    pub fn peers(&self, now: Micros) -> Vec<PeerView> {
        let view = |m: swim::View| PeerView {
            weight: self.reputation.weight(now, &m.record.name),
            name: m.record.name,
            address: m.record.address,
            state: m.state.name(),
            incarnation: m.record.incarnation,
            heard: m.heard,
        };
        self.swim.members().map(view).collect()
    }

    /// Returns the number of members considered alive.
    pub fn alive(&self) -> usize {
        self.swim
            .members()
            .filter(|m| m.state == MemberState::Alive)
            .count()
    }

    /// Returns a member's state.
    pub fn state(&self, name: &str) -> Option<MemberState> {
        self.swim.state(name)
    }

    /// Returns the numbers of rejected datagrams by reason, and the number withheld by the budget.
    pub fn rejections(&self) -> (&BTreeMap<&'static str, u64>, u64) {
        (&self.opener.refused, self.budget.withheld)
    }

    /// Returns the number of stored observations and the length of the relay queue.
    pub fn queue_sizes(&self) -> (usize, usize) {
        (self.observations.len(), self.relay_queue.len())
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Micros, input: Input<'_>) {
        match input {
            Input::Datagram(source, bytes) => self.handle_datagram(now, source, bytes),
            Input::Outcome(worker, seen) => {
                let o = self.window.entry(worker).or_default();
                let count = match seen {
                    AttemptOutcome::Answered => &mut o.answered,
                    AttemptOutcome::Failed => &mut o.failed,
                    AttemptOutcome::TimedOut => &mut o.silent,
                    AttemptOutcome::Refused => &mut o.refused,
                };
                *count = count.saturating_add(1);
            }
            Input::Ready(ready) => {
                self.window.retain(|w, _| ready.contains(w));
                self.reported_unhealthy.retain(|w| ready.contains(w));
                self.ready = ready;
            }
            Input::KnownMembers(records, seeds) => {
                let good = records
                    .into_iter()
                    .filter(|r| wire::check_record(&self.keys, r))
                    .collect();
                self.swim
                    .handle(now, swim::Input::KnownMembers(good, seeds));
            }
            Input::Keys(keys) => {
                self.keys = keys;
                // Reseals the own record, so that members that no longer accept the old key accept
                // it.
                let own = self.swim.own();
                let (incarnation, leaving) = (own.incarnation + 1, own.leaving);
                self.renew(incarnation, leaving);
            }
            Input::Tick => {
                self.swim.handle(now, swim::Input::Tick);
                if now >= self.window_ends {
                    self.end_window(now);
                }
            }
            Input::Leave => self.swim.handle(now, swim::Input::Leave),
        }
        self.run_swim_outputs(now);
    }

    fn renew(&mut self, incarnation: u64, leaving: bool) {
        let own = wire::seal_record(
            &self.keys,
            &self.settings.name,
            self.settings.address,
            incarnation,
            leaving,
        );
        self.swim.renew(own);
    }

    fn handle_datagram(&mut self, now: Micros, source: SocketAddr, bytes: &[u8]) {
        let swim = &self.swim;
        let known = |r: &Record| swim.members().any(|m| m.record == *r);
        let Ok(opened) = self.opener.open(&self.keys, now, bytes, known) else {
            return;
        };
        if opened.from == self.settings.name {
            return;
        }
        for s in opened.observations {
            self.receive_observation(now, s);
        }
        // Answers go to the address in the sender's sealed record: a host that replays a datagram
        // from another address receives no answer.
        let sealed_address = opened
            .message
            .records
            .iter()
            .find(|r| r.name == opened.from)
            .map(|r| r.address);
        let known_address = self
            .swim
            .members()
            .find(|m| m.record.name == opened.from)
            .map(|m| m.record.address);
        let address = sealed_address.or(known_address).unwrap_or(source);
        self.swim.handle(
            now,
            swim::Input::Message(opened.from, address, opened.message),
        );
    }

    fn receive_observation(&mut self, now: Micros, s: SealedObservation) {
        let member = self
            .swim
            .state(&s.origin)
            .is_some_and(|t| t <= MemberState::Suspect);
        if s.origin == self.settings.name || !member {
            return;
        }
        let mut news = false;
        for (worker, o) in &s.seen {
            // Observations of workers that are not ready here cannot affect any decision.
            if self.ready.contains(worker) {
                news |= self.observations.merge(now, SKEW, &s.origin, *worker, *o);
            }
        }
        if news {
            self.queue_for_relay(s);
        }
    }

    fn queue_for_relay(&mut self, s: SealedObservation) {
        if self.relay_queue.len() >= MAX_RELAY_QUEUE {
            // Evicts the entry with the most sends.
            let relayed_most = self
                .relay_queue
                .iter()
                .max_by_key(|(_, (sent, _))| *sent)
                .map(|(k, _)| k.clone());
            relayed_most.and_then(|k| self.relay_queue.remove(&k));
        }
        self.relay_queue.insert((s.origin.clone(), s.at), (0, s));
    }

    /// Closes the observation window: queues local observations and issues new advice.
    fn end_window(&mut self, now: Micros) {
        self.window_ends = now + OBSERVATION_WINDOW;
        let mut seen = Vec::new();
        for (worker, o) in std::mem::take(&mut self.window) {
            let o = Observation { at: now, ..o };
            self.reputation.observe(worker, o);
            let worth_sending = match o.verdict() {
                HealthVerdict::Unhealthy => {
                    self.reported_unhealthy.insert(worker);
                    true
                }
                // A healthy worker is worth reporting only after this instance or another one
                // reported the worker as unhealthy.
                HealthVerdict::Healthy => {
                    let unhealthy = self
                        .observations
                        .for_worker(now, worker)
                        .any(|(_, x)| x.verdict() == HealthVerdict::Unhealthy);
                    self.reported_unhealthy.remove(&worker) || unhealthy
                }
                HealthVerdict::Inconclusive => false,
            };
            if worth_sending {
                seen.push((worker, o));
            }
        }
        // Unhealthy workers come first: they are fewer and matter more.
        seen.sort_by_key(|(w, o)| (o.verdict() != HealthVerdict::Unhealthy, *w));
        for part in seen.chunks(MAX_OBSERVATIONS).take(4) {
            let at = now
                + self
                    .relay_queue
                    .keys()
                    .filter(|(o, t)| *o == self.settings.name && *t >= now)
                    .count() as Micros;
            let part = part
                .iter()
                .map(|(w, o)| (*w, Observation { at, ..*o }))
                .collect();
            let sealed = wire::seal_observation(&self.keys, &self.settings.name, at, part);
            self.queue_for_relay(sealed);
        }
        self.observations.expire(now);
        self.relay_queue
            .retain(|(_, at), (sent, _)| *sent < MAX_RELAYS && now < at + OBSERVATION_LIFETIME);
        for (worker, advice) in self.reputation.advise(now, &self.observations, &self.ready) {
            self.outputs.push_back(Output::Advice(worker, advice));
        }
    }

    fn run_swim_outputs(&mut self, now: Micros) {
        while let Some(output) = self.swim.output() {
            match output {
                swim::Output::Send(to, message) => self.send(now, to, &message),
                swim::Output::Changed(name, standing) => {
                    self.outputs.push_back(Output::Changed(name, standing))
                }
                swim::Output::Forgotten(name) => {
                    self.observations.forget(&name);
                    self.reputation.forget_origin(&name);
                    self.relay_queue.retain(|(origin, _), _| *origin != name);
                }
                swim::Output::StoreMembers => {
                    if self.outputs.back() != Some(&Output::StoreMembers) {
                        self.outputs.push_back(Output::StoreMembers);
                    }
                }
                swim::Output::Accuse(accused, incarnation) => {
                    let a = wire::seal_accusation(
                        &self.keys,
                        &accused,
                        incarnation,
                        &self.settings.name,
                    );
                    self.swim.accuse(now, a);
                }
                swim::Output::Renew(incarnation, leaving) => self.renew(incarnation, leaving),
            }
        }
    }

    fn send(&mut self, now: Micros, to: SocketAddr, message: &Message) {
        let max_bytes = self.budget.max_datagram_bytes(now, MTU);
        self.number += 1;
        // Orders by fewest sends, then newest first.
        let mut order: Vec<((String, Micros), u32, usize)> = self
            .relay_queue
            .iter()
            .map(|(k, (sent, s))| {
                (
                    k.clone(),
                    *sent,
                    wire::sealed_observation_size(&s.origin, s.seen.len()),
                )
            })
            .collect();
        order.sort_by(|a, b| a.1.cmp(&b.1).then(b.0 .1.cmp(&a.0 .1)).then(a.0.cmp(&b.0)));
        let mut order = order.into_iter();
        let relay_queue = &mut self.relay_queue;
        let bytes = wire::pack(
            &self.keys,
            &self.settings.name,
            self.number,
            now,
            message,
            max_bytes,
            |left| {
                let (key, ..) = order.by_ref().find(|(_, _, size)| *size <= left)?;
                let (sent, s) = relay_queue.get_mut(&key)?;
                *sent += 1;
                Some(s.clone())
            },
        );
        let size = bytes.as_ref().map_or(usize::MAX, Vec::len);
        if !self.budget.try_take(now, size) {
            return;
        }
        if let Some(bytes) = bytes {
            self.sent_bytes += size as u64;
            self.sent_datagrams += 1;
            self.outputs.push_back(Output::Datagram(to, bytes));
        }
    }
}

#[cfg(test)]
#[path = "group_tests.rs"]
mod tests;
