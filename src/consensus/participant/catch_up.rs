//! Catching up: a learner's polls, the answers to them, and the lease entries that take effect.

use super::{HistoryEvent, Output, Participant};
use crate::api::Micros;
use crate::consensus::learners::{CatchUp, MAX_CATCH_UP_ENTRIES};
use crate::consensus::state::Entry;
use crate::consensus::wire::Body;
use crate::lease::{holder, table};

impl Participant {
    /// Polls the current voter, if a poll is due.
    pub(super) fn poll_voter(&mut self, now: Micros) {
        let Some((poll, _)) = self.learner.poll(now) else {
            return;
        };
        if let Some(to) = self.learner.source().cloned() {
            self.send(to, Body::Poll(poll));
        }
    }

    pub(super) fn on_catch_up(&mut self, now: Micros, catch_up: CatchUp) {
        if self.is_voting {
            return;
        }
        if catch_up.restored {
            let index = self.learner.state().applied;
            let leases = self.learner.state().leases.clone();
            self.record(HistoryEvent::Restored { index });
            self.holder.handle(now, holder::Input::Restored(leases));
            self.outputs.push_back(Output::SubsystemChanged);
        }
        for applied in catch_up.applied {
            match applied.entry {
                Entry::Lease(entry) if applied.took_effect => {
                    self.on_lease_entry(now, applied.index, entry);
                }
                // Reported even if the entry had no effect, so that the proposer sees the state that was agreed instead.
                Entry::ReplicaSets(_) | Entry::Tenants(_) => {
                    self.outputs.push_back(Output::SubsystemChanged);
                }
                _ => {}
            }
        }
        for effect in catch_up.effects {
            self.receive_effect(effect, false);
        }
    }

    /// Handles a lease entry that took effect in the agreed state.
    pub(super) fn on_lease_entry(&mut self, now: Micros, index: u64, entry: table::Entry) {
        let event = match entry.clone() {
            table::Entry::Grant {
                lease,
                holder,
                term,
            } => HistoryEvent::Agreed {
                index,
                lease,
                term,
                holder: Some(holder),
            },
            table::Entry::Released { lease, term } => HistoryEvent::Agreed {
                index,
                lease,
                term,
                holder: None,
            },
        };
        self.record(event);
        self.holder.handle(now, holder::Input::Applied(entry));
    }

    /// Answers the learners' polls that are due.
    pub(super) fn answer_learners(&mut self, now: Micros) {
        let Some(voter) = &self.voter else {
            return;
        };
        let process = self.settings.process;
        let state = voter.state();
        for (name, poll) in self.learner_progress.due(now, process, state) {
            let effects = self.learner_progress.effects_since(process, &poll);
            let entries = if poll.generation == state.generation {
                voter.entries_from(poll.applied + 1, MAX_CATCH_UP_ENTRIES)
            } else {
                None
            };
            let body = match entries {
                Some(entries) => Body::Entries {
                    generation: state.generation,
                    entries,
                    effects,
                },
                None => Body::State(Box::new(state.clone()), effects),
            };
            self.outputs.push_back(Output::Send(name, body));
        }
    }
}
