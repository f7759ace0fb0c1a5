//! Drives the duty `trials`: own outcomes, the list and the owner's word in; pings, reports and advice out. It decides nothing.

use super::*;
use crate::consensus::member::Input as Say;
use crate::health_checks::{Input, Output, Trials, NAME};
use crate::membership::group::Observed;

/// The duty, while it is on the operator's list.
#[derive(Debug)]
pub(super) struct HealthCheckDriver {
    trials: Trials,
    probes: BTreeMap<HealthCheckKey, WorkerId>,
    hung: Option<Micros>,
}

fn word(verdicts: Vec<(WorkerId, bool)>) -> Vec<u8> {
    let plain: Vec<(u32, bool)> = verdicts.into_iter().map(|(w, ill)| (w.0, ill)).collect();
    // Always packs.
    postcard::to_stdvec(&plain).unwrap_or_default()
}

impl Gateway {
    /// Begins the duty, with the workers that are ready.
    pub(super) fn set_up_trials(&mut self, now: Micros, ready: BTreeSet<WorkerId>) {
        let mut trials = Trials::default();
        trials.handle(now, Input::Ready(ready));
        self.cluster.health_checks = Some(HealthCheckDriver {
            trials,
            probes: BTreeMap::new(),
            hung: None,
        });
    }

    fn tell_trials(&mut self, now: Micros, input: Input) {
        if let Some(side) = &mut self.cluster.health_checks {
            side.trials.handle(now, input);
        }
    }

    pub(super) fn trials_ready(&mut self, now: Micros, ready: BTreeSet<WorkerId>) {
        self.tell_trials(now, Input::Ready(ready));
    }

    pub(super) fn trials_outcome(&mut self, now: Micros, worker: WorkerId, seen: Observed) {
        self.tell_trials(now, Input::Outcome(worker, seen));
    }

    /// Whether this gateway owns the duty has changed.
    pub(super) fn trials_owned(&mut self, now: Micros, duty: &str, owns: bool) {
        if duty == NAME {
            self.tell_trials(now, Input::Owns(owns));
        }
    }

    /// The owner's word.
    pub(super) fn trials_told(&mut self, now: Micros, duty: &str, content: &[u8]) {
        if duty != NAME {
            return;
        }
        // What cannot be read tells nothing.
        let verdicts: Vec<(u32, bool)> = postcard::from_bytes(content).unwrap_or_default();
        self.tell_trials(
            now,
            Input::Verdicts(
                verdicts
                    .into_iter()
                    .map(|(w, ill)| (WorkerId(w), ill))
                    .collect(),
            ),
        );
    }

    /// Another gateway's word, for the owner.
    pub(super) fn trials_heard(&mut self, now: Micros, duty: &str, content: &[u8]) {
        if duty != NAME {
            return;
        }
        if let Ok(worker) = postcard::from_bytes::<u32>(content) {
            self.tell_trials(now, Input::Heard(WorkerId(worker)));
        }
    }

    /// A probe has ended outside; whether it was a trial.
    pub(super) fn trial_ended(&mut self, now: Micros, key: HealthCheckKey, ending: CloseReason) {
        let Some(worker) = self
            .cluster
            .health_checks
            .as_mut()
            .and_then(|side| side.probes.remove(&key))
        else {
            return;
        };
        self.tell_trials(now, Input::Tried(worker, ending == CloseReason::Served));
    }

    /// Does what follows.
    pub(super) fn step_trials(&mut self, now: Micros) {
        while let Some(output) = self
            .cluster
            .health_checks
            .as_mut()
            .and_then(|side| side.trials.output())
        {
            match output {
                Output::Report(worker) => {
                    let content = postcard::to_stdvec(&worker.0).unwrap_or_default();
                    self.tell_member_of_council(Say::Report(NAME.into(), content));
                }
                Output::Try(worker) => {
                    let probe = self.core.start_health_check(now, worker);
                    if let Some(side) = &mut self.cluster.health_checks {
                        side.probes.insert(probe, worker);
                    }
                }
                Output::Tell(verdicts) => {
                    self.tell_member_of_council(Say::Act(NAME.into(), word(verdicts)))
                }
                Output::Advise(worker, until) => self.core.update_peer_health(now, worker, until),
                Output::Able(able) => self.set_able(able),
            }
        }
        let Some(side) = &mut self.cluster.health_checks else {
            return;
        };
        // A probe that the core gave up has no word of its own; the trial has its own bound.
        let core = &self.core;
        side.probes.retain(|key, _| core.has_health_check(*key));
        let next = side.trials.next_deadline().map(|t| t.max(now));
        if next != side.hung {
            if let Some(old) = side.hung.take() {
                self.core
                    .unschedule(old, GatewayDeadline::HealthChecks.into());
            }
            side.hung = next;
            if let Some(at) = next {
                self.core.schedule(at, GatewayDeadline::HealthChecks.into());
            }
        }
    }

    pub(super) fn tick_trials(&mut self, now: Micros) {
        if let Some(side) = &mut self.cluster.health_checks {
            side.hung = None;
        }
        self.tell_trials(now, Input::Tick);
    }

    /// What can be seen of the duty.
    pub(super) fn trials_view(&self) -> serde_json::Value {
        let Some(side) = &self.cluster.health_checks else {
            return serde_json::Value::Null;
        };
        let ill: Vec<String> = side.trials.ill().map(|w| format!("{:08x}", w.0)).collect();
        serde_json::json!({ "ill": ill, "trials": side.trials.trials })
    }
}

#[cfg(test)]
mod fixture_tests;
