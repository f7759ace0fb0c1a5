//! The model: holders, grantors, and the messages in flight.

use std::collections::BTreeSet;

use stateright::{Model, Property};

use crate::api::Micros;
use crate::lease::fence::Fence;
use crate::lease::grantor::{self, LeaseGrantor};
use crate::lease::holder::{self, HolderState};
use crate::lease::renewal::{RenewReply, RenewRequest};
use crate::lease::table::Entry;
use crate::lease::{LeaseHolder, LeaseName, Settings, Term};

/// The bounds of the exploration, and the guards in effect.
#[derive(Clone, Debug)]
pub(super) struct Scenario {
    /// The time at which the clock stops.
    pub(super) end_time: Micros,
    /// The maximum number of elections after that of the first leader.
    pub(super) max_elections: u8,
    /// The settings of the holders.
    pub(super) holder: Settings,
    /// The settings of the grantors.
    pub(super) grantor: Settings,
    /// Whether leadership is really confirmed; otherwise a grantor that no longer leads gets a
    /// confirmation too.
    pub(super) requires_leadership: bool,
    /// Whether receivers reject old terms.
    pub(super) fences: bool,
    /// The maximum number of messages that arrive twice.
    pub(super) duplicates: u8,
    /// Whether an effect may arrive at any later time; otherwise it arrives at once.
    pub(super) late_effects: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct State {
    now: Micros,
    holders: Vec<Process<HolderState>>,
    grantors: Vec<Process<LeaseGrantor>>,
    log: Vec<Entry>,
    leader: usize,
    elections: u8,
    requests: BTreeSet<RenewRequest>,
    replies: BTreeSet<RenewReply>,
    /// The number of messages that may still arrive twice.
    duplicates: u8,
    /// Confirmations in flight, by grantor and number.
    confirmed: BTreeSet<(usize, u64)>,
    /// The terms under which an effect was sent.
    effects: BTreeSet<Term>,
    fence: Fence,
    /// The highest term of the effects that the receiver admitted.
    highest_received: Term,
    /// Whether the receiver admitted an effect below that term.
    out_of_order: bool,
}

/// Whether an arriving message is removed from the messages in flight, or stays and may arrive
/// again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Delivery {
    Last,
    Duplicate,
}

/// A holder or a grantor, and the number of log entries that it has applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Process<T> {
    state: T,
    applied: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Step {
    Time,
    Holder(usize),
    HolderApplies(usize),
    GrantorApplies(usize),
    /// A request arrives at a grantor.
    Request(usize, RenewRequest, Delivery),
    Reply(RenewReply, Delivery),
    Confirmed(usize, u64),
    Elect(usize),
    Effect(usize),
    Received(Term),
}

fn lease() -> LeaseName {
    "trials".into()
}

fn gateway(i: usize) -> LeaseHolder {
    LeaseHolder {
        name: format!("n{i}").into(),
        incarnation: 1,
    }
}

impl State {
    fn handle_holder(&mut self, index: usize, input: holder::Input) {
        self.holders[index].state.handle(self.now, input);
    }

    fn handle_grantor(&mut self, index: usize, input: grantor::Input) {
        self.grantors[index].state.handle(self.now, input);
    }

    fn apply_at_holder(&mut self, index: usize) {
        let entry = self.log[self.holders[index].applied].clone();
        self.holders[index].applied += 1;
        self.handle_holder(index, holder::Input::Applied(entry));
    }

    fn apply_at_grantor(&mut self, index: usize) {
        let entry = self.log[self.grantors[index].applied].clone();
        self.grantors[index].applied += 1;
        self.handle_grantor(index, grantor::Input::Applied(entry));
    }

    /// Advances the clock, lets holders without a lease renew their candidacy, and lets the leader place leases. No guard
    /// depends on the time of these steps, so the model does not vary it.
    fn advance_time(&mut self) {
        self.now += 1;
        for holder in &mut self.holders {
            if holder.state.held_leases().next().is_none() {
                holder.state.handle(self.now, holder::Input::Tick);
            }
        }
        self.handle_grantor(self.leader, grantor::Input::Tick);
    }

    fn elect(&mut self, index: usize) {
        self.leader = index;
        self.elections += 1;
        while self.grantors[index].applied < self.log.len() {
            self.apply_at_grantor(index);
        }
        self.handle_grantor(index, grantor::Input::BecameLeader);
    }

    /// Returns whether the message arrives for the last time; counts it as a duplicate otherwise.
    fn take_delivery(&mut self, delivery: Delivery) -> bool {
        if delivery == Delivery::Duplicate {
            self.duplicates -= 1;
        }
        delivery == Delivery::Last
    }
}

impl Scenario {
    /// A scenario with all guards enabled.
    pub(super) fn guarded(end_time: Micros, max_elections: u8, duration: Micros) -> Scenario {
        let settings = Settings {
            duration,
            drift_ppm: 0,
        };
        Scenario {
            end_time,
            max_elections,
            holder: settings,
            grantor: settings,
            requires_leadership: true,
            fences: true,
            duplicates: 0,
            late_effects: false,
        }
    }

    fn process_outputs(&self, state: &mut State) {
        for holder in 0..state.holders.len() {
            while let Some(output) = state.holders[holder].state.output() {
                self.on_holder_output(state, output);
            }
        }
        for grantor in 0..state.grantors.len() {
            while let Some(output) = state.grantors[grantor].state.output() {
                self.on_grantor_output(state, grantor, output);
            }
        }
    }

    fn on_holder_output(&self, state: &mut State, output: holder::Output) {
        let holder::Output::Renew(request) = output else {
            return;
        };
        if request.held.is_empty() {
            // The leader learns of eligibility at once, as no guard depends on it.
            let leader = state.leader;
            state.handle_grantor(leader, grantor::Input::Renew(request));
        } else {
            // Only the last request of each holder, and the last reply to it, is in flight.
            state.requests.retain(|other| other.from != request.from);
            state.requests.insert(request);
        }
    }

    fn on_grantor_output(&self, state: &mut State, grantor: usize, output: grantor::Output) {
        let leads = state.leader == grantor;
        match output {
            // A confirmation may arrive at any later time; a former leader gets none.
            grantor::Output::Confirm(number) => {
                if leads || !self.requires_leadership {
                    state.confirmed.insert((grantor, number));
                }
            }
            grantor::Output::Reply(reply) => {
                state.replies.retain(|other| other.to != reply.to);
                state.replies.insert(reply);
            }
            // The leader's proposal is committed at once; that of a former leader is lost.
            grantor::Output::Propose(entry) => {
                if leads {
                    state.log.push(entry);
                }
            }
        }
    }

    fn receive(&self, state: &mut State, term: Term) {
        if !self.fences || state.fence.admit(&lease(), term).is_ok() {
            state.out_of_order |= term < state.highest_received;
            state.highest_received = state.highest_received.max(term);
        }
    }

    /// The possible deliveries of a message: for the last time, or as a duplicate while the limit allows it.
    fn deliveries(&self, state: &State) -> impl Iterator<Item = Delivery> {
        let duplicate = (state.duplicates > 0).then_some(Delivery::Duplicate);
        [Delivery::Last].into_iter().chain(duplicate)
    }

    fn holder_steps(&self, state: &State, steps: &mut Vec<Step>) {
        for (index, holder) in state.holders.iter().enumerate() {
            let has_leases = holder.state.held_leases().next().is_some();
            if has_leases && holder.state.next_deadline() <= state.now {
                steps.push(Step::Holder(index));
            }
            if holder.applied < state.log.len() {
                steps.push(Step::HolderApplies(index));
            }
            let term = holder.state.held_term(state.now, &lease());
            if term.is_some_and(|term| !state.effects.contains(&term)) {
                steps.push(Step::Effect(index));
            }
        }
    }

    fn grantor_steps(&self, state: &State, steps: &mut Vec<Step>) {
        for (index, grantor) in state.grantors.iter().enumerate() {
            if grantor.applied < state.log.len() {
                steps.push(Step::GrantorApplies(index));
            }
            if index != state.leader && state.elections < self.max_elections {
                steps.push(Step::Elect(index));
            }
            for delivery in self.deliveries(state) {
                let requests = state.requests.iter().cloned();
                steps.extend(requests.map(|request| Step::Request(index, request, delivery)));
            }
        }
    }
}

impl Model for Scenario {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let new = |index| Process {
            state: HolderState::new(self.holder, gateway(index), 0),
            applied: 0,
        };
        let granted = |state| Process { state, applied: 1 };
        let grant = Entry::Grant {
            lease: lease(),
            holder: gateway(0),
            term: 1,
        };
        let mut first = LeaseGrantor::new(self.grantor, BTreeSet::from([lease()]));
        first.handle(0, grantor::Input::Applied(grant.clone()));
        let second = first.clone();
        first.handle(0, grantor::Input::BecameLeader);
        vec![State {
            now: 0,
            holders: (0..2).map(new).collect(),
            grantors: vec![granted(first), granted(second)],
            log: vec![grant],
            leader: 0,
            elections: 0,
            requests: BTreeSet::new(),
            replies: BTreeSet::new(),
            duplicates: self.duplicates,
            confirmed: BTreeSet::new(),
            effects: BTreeSet::new(),
            fence: Fence::default(),
            highest_received: 0,
            out_of_order: false,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.now < self.end_time {
            steps.push(Step::Time);
        }
        self.holder_steps(state, steps);
        self.grantor_steps(state, steps);
        for delivery in self.deliveries(state) {
            let replies = state.replies.iter().cloned();
            steps.extend(replies.map(|reply| Step::Reply(reply, delivery)));
        }
        let confirmed = state.confirmed.iter();
        steps.extend(confirmed.map(|(grantor, number)| Step::Confirmed(*grantor, *number)));
        if self.late_effects {
            steps.extend(state.effects.iter().map(|term| Step::Received(*term)));
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut state = before.clone();
        match step {
            Step::Time => state.advance_time(),
            Step::Holder(index) => state.handle_holder(index, holder::Input::Tick),
            Step::HolderApplies(index) => state.apply_at_holder(index),
            Step::GrantorApplies(index) => state.apply_at_grantor(index),
            Step::Request(index, request, delivery) => {
                if state.take_delivery(delivery) {
                    state.requests.remove(&request);
                }
                state.handle_grantor(index, grantor::Input::Renew(request));
            }
            Step::Reply(reply, delivery) => {
                if state.take_delivery(delivery) {
                    state.replies.remove(&reply);
                }
                let is_receiver = |holder: &Process<HolderState>| *holder.state.own() == reply.to;
                let index = state.holders.iter().position(is_receiver)?;
                state.handle_holder(index, holder::Input::Reply(reply));
            }
            Step::Confirmed(index, number) => {
                state.confirmed.remove(&(index, number));
                state.handle_grantor(index, grantor::Input::Confirmed(number));
            }
            Step::Elect(index) => state.elect(index),
            Step::Effect(index) => {
                let term = state.holders[index].state.held_term(state.now, &lease())?;
                state.effects.insert(term);
                if !self.late_effects {
                    self.receive(&mut state, term);
                }
            }
            Step::Received(term) => self.receive(&mut state, term),
        }
        self.process_outputs(&mut state);
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one holder", |_, state: &State| {
                let is_holder = |holder: &&Process<HolderState>| {
                    holder.state.held_term(state.now, &lease()).is_some()
                };
                state.holders.iter().filter(is_holder).count() <= 1
            }),
            Property::always("effects in term order", |_, state: &State| {
                !state.out_of_order
            }),
            Property::sometimes("lease changes holder", |_, state: &State| {
                state.highest_received >= 2
            }),
        ]
    }
}
