//! Tests of delivery against a model: a store that is a map, and portals with scripted answers.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;

use super::response::{DeadLetterReason, DeliveryReport, MessageState};
use super::schedule::Schedule;
use super::{
    Delivery, Enabled, EndpointId, EndpointSettings, Input, Limits, Output, PendingMessage, Seq,
};
use crate::api::{Effect, Micros};
use crate::completion::{CloseReason, SendProgress};

const SECOND: Micros = 1_000_000;

/// One delivery with its store and portals, and the invariants that are checked after each step.
struct Model {
    delivery: Delivery,
    now: Micros,
    plans: BTreeMap<EndpointId, EndpointSettings>,
    store: BTreeMap<Seq, (PendingMessage, MessageState)>,
    /// Waiting messages in the order in which they are fetched.
    index: BTreeSet<(EndpointId, Micros, Seq)>,
    in_flight_since: BTreeMap<Seq, Micros>,
    /// Messages that their portal may have received.
    arrived: BTreeSet<Seq>,
    begun: BTreeMap<Seq, u32>,
    /// Unanswered fetches.
    fetches: Vec<(EndpointId, Vec<PendingMessage>, Option<Micros>)>,
    disabled: Vec<EndpointId>,
    /// Start times of the attempts at each endpoint.
    sent: BTreeMap<EndpointId, Vec<Micros>>,
    limits: Limits,
}

fn plan(tenant: u64) -> EndpointSettings {
    let schedule = Schedule::from_seconds(&[1.0, 10.0, 100.0]).unwrap();
    EndpointSettings {
        tenant,
        enabled: Enabled::Yes,
        per_s: 0.0,
        in_flight: 3,
        schedule,
    }
}

fn answer(status: u16) -> DeliveryReport {
    let reason = if status / 100 == 2 {
        CloseReason::Served
    } else {
        CloseReason::Failed
    };
    DeliveryReport {
        close_reason: reason,
        send_progress: SendProgress::Started,
        status: Some(status),
        retry_after: None,
    }
}

const REFUSED: DeliveryReport = DeliveryReport {
    close_reason: CloseReason::Refused,
    send_progress: SendProgress::Unsent,
    status: None,
    retry_after: None,
};
const RESET: DeliveryReport = DeliveryReport {
    close_reason: CloseReason::Reset,
    send_progress: SendProgress::Started,
    status: None,
    retry_after: None,
};

impl Model {
    fn new(limits: Limits, endpoints: u64) -> Model {
        let mut w = Model {
            delivery: Delivery::new(limits, 7, 1),
            now: 1,
            plans: BTreeMap::new(),
            store: BTreeMap::new(),
            index: BTreeSet::new(),
            in_flight_since: BTreeMap::new(),
            arrived: BTreeSet::new(),
            begun: BTreeMap::new(),
            fetches: Vec::new(),
            disabled: Vec::new(),
            sent: BTreeMap::new(),
            limits,
        };
        for n in 0..endpoints {
            w.plan(EndpointId(n), plan(n / 2));
        }
        w
    }

    fn plan(&mut self, id: EndpointId, plan: EndpointSettings) {
        self.plans.insert(id, plan.clone());
        self.input(Input::EndpointChanged(id, plan));
    }

    fn input(&mut self, input: Input) {
        self.delivery.handle(self.now, input);
        self.process_outputs();
    }

    fn publish(&mut self, seq: u64, endpoint: u64, effect: Effect) {
        let (seq, endpoint) = (Seq(seq), EndpointId(endpoint));
        let message = PendingMessage {
            seq,
            endpoint,
            due: self.now,
            effect,
            maybe_received_at: None,
            tries: 0,
            size: 9000,
        };
        self.store_message(message, MessageState::Waiting);
        self.input(Input::MessagePending(message));
    }

    fn store_message(&mut self, message: PendingMessage, state: MessageState) {
        if let Some((old, _)) = self.store.insert(message.seq, (message, state)) {
            self.index.remove(&(old.endpoint, old.due, old.seq));
        }
        if state == MessageState::Waiting {
            self.index
                .insert((message.endpoint, message.due, message.seq));
        }
    }

    /// Executes the outputs of delivery and checks the invariants.
    fn process_outputs(&mut self) {
        while let Some(output) = self.delivery.output() {
            match output {
                Output::Begin {
                    seq,
                    endpoint,
                    recorded,
                } => {
                    let (m, state) = self.store[&seq];
                    assert_eq!((m.endpoint, state), (endpoint, MessageState::Waiting));
                    assert!(m.due <= self.now, "{seq:?} begins before its due time");
                    assert!(
                        self.in_flight_since.insert(seq, self.now).is_none(),
                        "{seq:?} is in flight twice"
                    );
                    assert_eq!(recorded, m.effect != Effect::Idempotent);
                    assert!(
                        m.effect != Effect::NonIdempotent || !self.arrived.contains(&seq),
                        "{seq:?} may arrive twice"
                    );
                    *self.begun.entry(seq).or_default() += 1;
                    self.sent.entry(endpoint).or_default().push(self.now);
                    let at = |id| {
                        self.in_flight_since
                            .keys()
                            .filter(|s| self.store[s].0.endpoint == id)
                            .count()
                    };
                    assert!(at(endpoint) as u32 <= self.plans[&endpoint].in_flight);
                    assert_eq!(self.plans[&endpoint].enabled, Enabled::Yes);
                    assert!(self.in_flight_since.len() as u32 <= self.limits.max_in_flight);
                }
                Output::Persist { message, state, .. } => {
                    assert!(
                        !self.store[&message.seq].1.is_over(),
                        "{message:?} ends twice"
                    );
                    self.store_message(message, state);
                }
                Output::Fetch(id, limit) => {
                    let mut mine = self
                        .index
                        .range((id, 0, Seq(0))..(EndpointId(id.0 + 1), 0, Seq(0)));
                    let all: Vec<PendingMessage> = mine
                        .by_ref()
                        .take(limit)
                        .map(|k| self.store[&k.2].0)
                        .collect();
                    let next = mine.next().map(|k| k.1);
                    assert!(
                        self.fetches.iter().all(|(e, ..)| *e != id),
                        "one fetch at a time"
                    );
                    self.fetches.push((id, all, next));
                }
                Output::EndpointDisabled(id, _) => {
                    self.plans.get_mut(&id).unwrap().enabled = Enabled::DisabledByFailure;
                    self.disabled.push(id);
                }
                Output::Purge(id) => {
                    let mine = self
                        .store
                        .values()
                        .filter(|(m, s)| m.endpoint == id && !s.is_over());
                    let mine: Vec<PendingMessage> = mine.map(|(m, _)| *m).collect();
                    for m in mine
                        .into_iter()
                        .filter(|m| !self.in_flight_since.contains_key(&m.seq))
                        .collect::<Vec<_>>()
                    {
                        self.store_message(m, MessageState::Dead(DeadLetterReason::Gone));
                    }
                }
            }
        }
        assert_eq!(
            self.delivery.attempts_in_flight() as usize,
            self.in_flight_since.len()
        );
        assert!(self.delivery.loaded() <= self.limits.max_loaded + 4 * self.plans.len());
    }

    fn answer_fetch(&mut self) {
        if !self.fetches.is_empty() {
            let (id, messages, next) = self.fetches.remove(0);
            self.input(Input::Fetched(id, messages, next));
        }
    }

    fn end(&mut self, nth: usize, report: DeliveryReport) {
        let Some(&seq) = self
            .in_flight_since
            .keys()
            .nth(nth % self.in_flight_since.len().max(1))
        else {
            return;
        };
        self.in_flight_since.remove(&seq);
        if report.may_have_arrived() {
            self.arrived.insert(seq);
        }
        self.input(Input::AttemptEnded(seq, report));
    }

    fn advance(&mut self, span: Micros) {
        self.now += span;
        self.input(Input::Tick);
    }

    /// Answers all attempts with `report` and advances the time from deadline to deadline until
    /// `span` has passed.
    fn run_for(&mut self, span: Micros, report: impl Fn(Seq, Micros) -> DeliveryReport) {
        let end = self.now + span;
        loop {
            while !self.fetches.is_empty() {
                self.answer_fetch();
            }
            if let Some(&seq) = self.in_flight_since.keys().next() {
                let report = report(seq, self.now);
                self.end(0, report);
                continue;
            }
            match self.delivery.next_deadline() {
                Some(at) if at <= end => {
                    self.now = self.now.max(at);
                    self.input(Input::Tick);
                }
                _ => return self.now = end,
            }
        }
    }

    fn states(&self) -> BTreeMap<&'static str, usize> {
        let mut map = BTreeMap::new();
        self.store
            .values()
            .for_each(|(_, s)| *map.entry(s.name()).or_default() += 1);
        map
    }
}

#[derive(Clone, Debug)]
enum Step {
    Publish(u64, bool),
    End(usize, u8),
    Fetched,
    Advance(Micros),
    SetEnabled(u64, bool),
    Remove(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0u64..6, any::<bool>()).prop_map(|(e, safe)| Step::Publish(e, safe)),
        6 => (any::<usize>(), 0u8..8).prop_map(|(n, how)| Step::End(n, how)),
        3 => Just(Step::Fetched),
        3 => (0u32..32).prop_map(|e| Step::Advance(1 << e)),
        1 => (0u64..6, any::<bool>()).prop_map(|(e, on)| Step::SetEnabled(e, on)),
        1 => (0u64..40).prop_map(Step::Remove),
    ]
}

fn report_of_kind(how: u8) -> DeliveryReport {
    match how {
        0 => REFUSED,
        1 => RESET,
        2 => answer(500),
        3 => DeliveryReport {
            retry_after: Some(30 * SECOND),
            ..answer(503)
        },
        4 => DeliveryReport {
            retry_after: Some(Micros::MAX),
            ..answer(429)
        },
        5 => DeliveryReport::VOID,
        _ => answer(204),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// For any order of events, the checks in [`Model::process_outputs`] hold. Once all portals
    /// answer, no message is left waiting, no idempotent message was lost, and each message ended
    /// by an attempt or for a valid reason.
    #[test]
    fn events_in_any_order_lose_no_message(steps in prop::collection::vec(step(), 1..300)) {
        // Small limits, so that most messages are only in the store.
        let limits = Limits { max_in_flight: 5, max_ready_per_endpoint: 3, max_loaded: 8, load_horizon: 20 * SECOND, ..Limits::default() };
        let mut w = Model::new(limits, 6);
        let mut removed = BTreeSet::new();
        for (n, step) in steps.into_iter().enumerate() {
            match step {
                Step::Publish(e, safe) if !removed.contains(&e) => {
                    w.publish(n as u64, e, if safe { Effect::Idempotent } else { Effect::NonIdempotent });
                }
                Step::Publish(..) => {}
                Step::End(nth, how) => w.end(nth, report_of_kind(how)),
                Step::Fetched => w.answer_fetch(),
                Step::Advance(span) => w.advance(span),
                Step::SetEnabled(e, on) if !removed.contains(&e) => {
                    let enabled = if on { Enabled::Yes } else { Enabled::DisabledByOperator };
                    let p = EndpointSettings { enabled, ..w.plans[&EndpointId(e)].clone() };
                    w.plan(EndpointId(e), p);
                }
                Step::SetEnabled(..) => {}
                // Rare, so that most runs keep their endpoints.
                Step::Remove(e) if e < 6 => {
                    removed.insert(e);
                    w.input(Input::EndpointRemoved(EndpointId(e)));
                }
                Step::Remove(_) => {}
            }
        }
        for e in (0..6).filter(|e| !removed.contains(e)) {
            let p = EndpointSettings { enabled: Enabled::Yes, ..w.plans[&EndpointId(e)].clone() };
            w.plan(EndpointId(e), p);
        }
        w.run_for(100 * 86_400 * SECOND, |_, _| answer(204));
        prop_assert!(w.in_flight_since.is_empty() && w.fetches.is_empty() && w.delivery.loaded() == 0);
        for (m, state) in w.store.values() {
            let begun = w.begun.get(&m.seq).copied().unwrap_or(0);
            match state {
                MessageState::Delivered => prop_assert!(begun > 0),
                MessageState::Dead(DeadLetterReason::Unknown) => prop_assert!(m.effect == Effect::NonIdempotent && w.arrived.contains(&m.seq)),
                MessageState::Dead(DeadLetterReason::Exhausted) => prop_assert_eq!(m.tries, 4),
                MessageState::Dead(DeadLetterReason::Gone) => prop_assert!(removed.contains(&m.endpoint.0)),
                other => prop_assert!(false, "{:?} is left {:?}", m, other),
            }
        }
        prop_assert!(w.delivery.timers.is_empty(), "no timer is left without its message or endpoint");
    }
}

/// A portal that recovers after an hour with 100,000 waiting messages is not overloaded and
/// receives all of them.
#[test]
fn recovered_endpoint_starts_slowly_and_gets_all_messages() {
    let mut w = Model::new(
        Limits {
            max_in_flight: 64,
            max_ready_per_endpoint: 32,
            max_loaded: 256,
            ..Limits::default()
        },
        1,
    );
    let day = 86_400 * SECOND;
    let schedule = Schedule::from_seconds(&[10.0, 60.0, 600.0, 3600.0, 7200.0]).unwrap();
    w.plan(
        EndpointId(0),
        EndpointSettings {
            in_flight: 8,
            schedule,
            ..plan(0)
        },
    );
    for n in 0..100_000 {
        w.publish(
            n,
            0,
            if n % 2 == 0 {
                Effect::Idempotent
            } else {
                Effect::NonIdempotent
            },
        );
    }
    let back = w.now + 3600 * SECOND;
    w.run_for(3600 * SECOND, |_, _| REFUSED);
    let tried: usize = w.begun.values().map(|n| *n as usize).sum();
    assert!(
        tried < 60,
        "a dead portal costs {tried} attempts in an hour, not 100,000"
    );
    let before = w.sent[&EndpointId(0)].len();
    w.run_for(2 * day, |_, _| answer(204));
    assert_eq!(w.states(), BTreeMap::from([("delivered", 100_000)]));
    let times = &w.sent[&EndpointId(0)][before..];
    assert!(times[0] >= back && w.delivery.loaded() == 0);
    // The retry budget limits the retries of the messages that were attempted during the hour.
    assert!(w.begun.values().all(|n| *n <= 6));
}

/// One unreachable and one slow endpoint do not delay the others.
#[test]
fn dead_or_slow_endpoint_does_not_delay_others() {
    let mut w = Model::new(
        Limits {
            max_in_flight: 16,
            max_ready_per_endpoint: 16,
            max_loaded: 4096,
            ..Limits::default()
        },
        0,
    );
    for e in 0..50 {
        w.plan(
            EndpointId(e),
            EndpointSettings {
                in_flight: 4,
                ..plan(e)
            },
        );
    }
    let mut seq = 0;
    // Ten rounds of a message to each endpoint; endpoint 0 refuses, endpoint 1 never answers.
    for _ in 0..10 {
        for e in 0..50 {
            w.publish(seq, e, Effect::Idempotent);
            seq += 1;
        }
        loop {
            let other = w
                .in_flight_since
                .keys()
                .position(|s| w.store[s].0.endpoint.0 != 1);
            let Some(nth) = other else { break };
            let report = if w.store[w.in_flight_since.keys().nth(nth).unwrap()]
                .0
                .endpoint
                .0
                == 0
            {
                REFUSED
            } else {
                answer(200)
            };
            w.end(nth, report);
        }
        w.advance(SECOND / 10);
    }
    let done = |e: u64| {
        w.store
            .values()
            .filter(|(m, s)| m.endpoint.0 == e && *s == MessageState::Delivered)
            .count()
    };
    assert!(
        (2..50).all(|e| done(e) == 10),
        "each of the others has received all ten messages"
    );
    assert_eq!(
        (done(0), done(1), w.in_flight_since.len()),
        (0, 0, 4),
        "the slow endpoint holds only its own four attempts"
    );
}

#[test]
fn endpoint_is_disabled_by_410_or_long_failure() {
    let mut w = Model::new(
        Limits {
            disable_after: 100 * SECOND,
            ..Limits::default()
        },
        2,
    );
    w.publish(1, 0, Effect::Idempotent);
    w.publish(2, 0, Effect::Idempotent);
    w.end(0, answer(410));
    assert_eq!(
        (
            w.disabled.clone(),
            w.delivery.health(EndpointId(0)).unwrap().in_flight
        ),
        (vec![EndpointId(0)], 1)
    );
    w.end(0, REFUSED);
    w.publish(3, 0, Effect::NonIdempotent);
    w.run_for(3600 * SECOND, |_, _| answer(204));
    assert_eq!(w.states(), BTreeMap::from([("gone", 1), ("waiting", 2)]));
    w.plan(EndpointId(0), plan(0));
    w.run_for(3600 * SECOND, |_, _| answer(204));
    assert_eq!(w.states(), BTreeMap::from([("gone", 1), ("delivered", 2)]));
    for n in 10..30 {
        w.publish(n, 1, Effect::Idempotent);
    }
    w.run_for(400 * SECOND, |_, _| answer(500));
    assert_eq!(w.disabled, [EndpointId(0), EndpointId(1)]);
    assert!(w.states()["waiting"] > 0, "{:?}", w.states());
}

#[test]
fn rate_holds_and_unsafe_retry_is_not_sent() {
    let mut w = Model::new(Limits::default(), 0);
    w.plan(
        EndpointId(0),
        EndpointSettings {
            per_s: 5.0,
            in_flight: 50,
            ..plan(0)
        },
    );
    (0..100).for_each(|n| w.publish(n, 0, Effect::Idempotent));
    w.run_for(10 * SECOND, |_, _| answer(200));
    let sent = w.sent[&EndpointId(0)].len();
    assert!((50..=56).contains(&sent), "{sent}");
    w.plan(EndpointId(1), plan(1));
    let keyed = Effect::Keyed {
        scope: crate::api::IdempotencyScope::All,
        window: SECOND / 2,
    };
    w.publish(1000, 1, keyed);
    w.end(w.in_flight_since.len() - 1, RESET);
    w.run_for(1000 * SECOND, |_, _| answer(200));
    assert_eq!(
        w.store[&Seq(1000)].1,
        MessageState::Dead(DeadLetterReason::Unknown),
        "the portal detects duplicates for half a second only"
    );
    assert_eq!(w.begun[&Seq(1000)], 1);
}
