//! The consensus state machine of one gateway, without I/O.
//!
//! A [`Participant`] is a voter or a learner. It grants leases while it leads, holds leases, and checks the fencing terms of
//! the effects of other lease holders. The gateway's driver, the emulator and the tests all run this state machine.

mod catch_up;
mod effects;
mod frames;
mod history;
mod messages;
mod outputs;
mod queries;
mod settings;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

pub use history::HistoryEvent;
pub use messages::{Input, Output};
pub use settings::{DisabledGuards, Settings};

use crate::api::Micros;
use crate::consensus::learners::{Learner, LearnerProgress};
use crate::consensus::persistent_state::PersistentState;
use crate::consensus::voter::{self, Voter, VoterError};
use crate::consensus::wire::Body;
use crate::consensus::ReplicaId;
use crate::lease::fence::Fence;
use crate::lease::grantor::{self, LeaseGrantor};
use crate::lease::holder::{self, HolderState};
use crate::lease::{LeaseHolder, LeaseName, Term};
use outputs::ReplyRoutes;

/// The consensus state of one gateway.
#[derive(Debug)]
pub struct Participant {
    settings: Settings,
    voter: Option<Voter>,
    voter_error: Option<String>,
    learner: Learner,
    learner_progress: LearnerProgress,
    grantor: LeaseGrantor,
    holder: HolderState,
    fence: Fence,
    /// The last effect accepted for each lease, by term and number.
    last_accepted: BTreeMap<LeaseName, (Term, u64)>,
    /// The last effect sent under each lease of this gateway, by term and number.
    last_sent_effects: BTreeMap<LeaseName, (Term, u64)>,
    reply_routes: ReplyRoutes,
    /// The names of replicas that sent frames before this replica knew the voters.
    unconfirmed_peers: BTreeMap<ReplicaId, Arc<str>>,
    /// The generation seen in frames of the configured voters; used until this replica has a state of its own.
    adopted_generation: u32,
    /// Whether this gateway was a voter at the last check; see [`Participant::votes`].
    is_voting: bool,
    outputs: VecDeque<Output>,
}

impl Participant {
    /// Creates a participant. It is a voter if `persistent` is the usable state of one, otherwise a learner.
    ///
    /// [`Participant::voter_error`] reports a disk that cannot be used; the gateway is then a learner.
    pub fn new(
        settings: Settings,
        persistent: Option<PersistentState>,
        now: Micros,
    ) -> Participant {
        let voter = persistent.map(|persistent| start_voter(&settings, persistent, now));
        let (voter, voter_error) = match voter.transpose() {
            Ok(voter) => (voter, None),
            Err(error) => (None, Some(error.to_string())),
        };
        let own = LeaseHolder {
            name: settings.name.clone(),
            incarnation: settings.process,
        };
        let other_contacts: Vec<Arc<str>> = settings
            .contacts
            .iter()
            .filter(|contact| **contact != settings.name)
            .cloned()
            .collect();
        let replica = voter.as_ref().map(Voter::replica);
        let mut participant = Participant {
            learner: Learner::new(other_contacts, replica, settings.seed),
            learner_progress: LearnerProgress::default(),
            grantor: LeaseGrantor::new(settings.lease, settings.leases.clone()),
            holder: HolderState::new(settings.lease, own, now),
            fence: Fence::default(),
            last_accepted: BTreeMap::new(),
            last_sent_effects: BTreeMap::new(),
            reply_routes: ReplyRoutes::default(),
            unconfirmed_peers: BTreeMap::new(),
            adopted_generation: 0,
            is_voting: false,
            outputs: VecDeque::new(),
            settings,
            voter,
            voter_error,
        };
        participant.restore_grantor(now);
        if let Some(reason) = participant.voter_error.clone() {
            participant.record(HistoryEvent::Retired { reason });
        }
        participant.dispatch_outputs(now);
        participant
    }

    /// Starts the voter after the previous process has released the replica's disk.
    pub fn begin_voting(&mut self, now: Micros, persistent: PersistentState) {
        match start_voter(&self.settings, persistent, now) {
            Ok(voter) => {
                self.voter = Some(voter);
                self.restore_grantor(now);
            }
            Err(error) => {
                let reason = error.to_string();
                self.voter_error = Some(reason.clone());
                self.record(HistoryEvent::Retired { reason });
            }
        }
        self.dispatch_outputs(now);
    }

    /// Passes the leases of the voter's snapshot to the grantor; the entries after the snapshot follow as they are applied.
    fn restore_grantor(&mut self, now: Micros) {
        if let Some(voter) = &self.voter {
            let leases = voter.state().leases.clone();
            self.grantor.handle(now, grantor::Input::Restored(leases));
        }
    }

    /// Returns the time at which [`Input::Tick`] is due.
    pub fn next_deadline(&self, now: Micros) -> Micros {
        let voter = self.voter.as_ref().and_then(Voter::next_deadline);
        let learner = (!self.is_voting).then(|| self.learner.next_deadline(now));
        let deadlines = [
            voter,
            learner,
            self.grantor.next_deadline(now),
            self.learner_progress.next_deadline(),
        ];
        deadlines
            .into_iter()
            .flatten()
            .fold(self.holder.next_deadline(), Micros::min)
    }

    /// Returns the next action for the driver, if any.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::Frame(from, body) => self.on_frame(now, &from, body),
            Input::Disconnected(name) => {
                if self.catch_up_source() == Some(&name) {
                    self.learner.on_disconnected(now);
                }
            }
            Input::Persisted(number) => self.handle_voter(now, voter::Input::Persisted(number)),
            Input::SetEligible(eligible) => {
                self.holder
                    .handle(now, holder::Input::SetEligible(eligible));
            }
            Input::SendEffect(lease, content) => self.send_effect(now, lease, content),
            Input::Report(lease, content) => self.send_report(lease, content),
            Input::Submit(entry) => self.submit(entry, false),
            Input::ChangeVoters { added, removed } => self.change_voters(now, added, removed),
            Input::Tick => {}
        }
        self.handle_voter(now, voter::Input::Tick);
        self.grantor.handle(now, grantor::Input::Tick);
        self.holder.handle(now, holder::Input::Tick);
        self.dispatch_outputs(now);
    }

    /// Proposes a change of voters for the replicas of the named gateways.
    fn change_voters(&mut self, now: Micros, added: Option<Arc<str>>, removed: Option<Arc<str>>) {
        let added = added.and_then(|name| Some((self.learner_progress.replica(&name)?, name)));
        // A gateway may have an old replica that votes and a new one that is to be added.
        let added_replica = added.as_ref().map(|(replica, _)| *replica);
        let voters = &self.state().voters;
        let replica_of = |removed_name: Arc<str>| {
            voters
                .iter()
                .find(|(replica, name)| **name == removed_name && Some(**replica) != added_replica)
                .map(|(replica, _)| *replica)
        };
        let removed = removed.and_then(replica_of);
        self.handle_voter(now, voter::Input::ChangeVoters { added, removed });
    }

    fn handle_voter(&mut self, now: Micros, input: voter::Input<'_>) {
        if let Some(voter) = &mut self.voter {
            voter.handle(now, input);
        }
    }

    fn record(&mut self, event: HistoryEvent) {
        self.outputs.push_back(Output::Record(event));
    }

    fn send(&mut self, to: Arc<str>, body: Body) {
        self.outputs.push_back(Output::Send(to, body));
    }

    /// Dispatches the outputs of the voter, the grantor and the holder until there are none left.
    fn dispatch_outputs(&mut self, now: Micros) {
        loop {
            if let Some(output) = self.voter.as_mut().and_then(Voter::output) {
                self.on_voter_output(now, output);
            } else if let Some(output) = self.grantor.output() {
                self.on_grantor_output(now, output);
            } else if let Some(output) = self.holder.output() {
                self.on_holder_output(now, output);
            } else {
                break;
            }
            self.update_is_voting(now);
        }
        self.update_is_voting(now);
        if self.is_voting {
            self.answer_learners(now);
        } else {
            self.poll_voter(now);
        }
    }

    /// Switches the source of the agreed state: the own log for a voter, a polled voter for a learner.
    fn update_is_voting(&mut self, now: Micros) {
        let votes = self.votes();
        if std::mem::replace(&mut self.is_voting, votes) == votes {
            return;
        }
        let leases = self.state().leases.clone();
        self.holder.handle(now, holder::Input::Restored(leases));
        self.outputs.push_back(Output::SubsystemChanged);
        if !votes {
            self.learner_progress = LearnerProgress::default();
        }
    }
}

fn start_voter(
    settings: &Settings,
    persistent: PersistentState,
    now: Micros,
) -> Result<Voter, VoterError> {
    let identity = voter::Identity {
        process: settings.process,
        seed: settings.seed,
    };
    let guards = settings.disabled_guards.voter;
    Voter::new(settings.voter, persistent, identity, now, guards)
}
