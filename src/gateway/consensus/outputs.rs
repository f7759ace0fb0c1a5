//! Carries out the participant's outputs, and passes leases and effects to the subsystems that work
//! under leases.

use super::setup::lease_names;
use crate::api::Micros;
use crate::consensus::participant::{HistoryEvent, Input, Output};
use crate::consensus::persistent_state::Record;
use crate::gateway::Gateway;
use crate::lease::{LeaseName, Term};
use crate::store::operations::Op;

impl Gateway {
    pub(super) fn on_consensus_output(&mut self, now: Micros, output: Output) {
        match output {
            Output::Send(to, body) => self.send_frame(now, &to, body),
            Output::SendEffect(to, effect) => self.send_own_effect(&to, effect),
            Output::Persist(number, record) => self.write_record(number, record),
            Output::LeaseAcquired(lease, term) => self.on_lease_acquired(now, &lease, term),
            Output::LeaseLost(lease, term) => self.on_lease_lost(now, &lease, term),
            Output::EffectReceived(effect) => {
                self.on_health_check_effect(now, &effect.lease, &effect.content);
                self.on_load_effect(now, &effect.lease, &effect.content);
            }
            Output::ReportReceived(lease, from, content) => {
                self.on_health_check_report(now, &lease, &content);
                self.on_load_report(now, &lease, &from, &content);
            }
            Output::SubsystemChanged => {
                self.update_replica_sets();
                self.update_agreed_tenants(now);
            }
            Output::Record(event) => self.on_history_event(now, &event),
        }
    }

    fn write_record(&mut self, number: u64, record: Box<Record>) {
        let driver = self.cluster.consensus.as_ref();
        if let Some(writer) = driver.and_then(|driver| driver.writer.as_ref()) {
            writer.submit(number, Op::AppendLog(record));
        }
    }

    fn on_lease_acquired(&mut self, now: Micros, lease: &LeaseName, term: Term) {
        tracing::info!(lease = &**lease, term, "lease acquired");
        self.set_health_check_lease(now, lease, true);
        self.set_load_lease(now, lease, true);
    }

    fn on_lease_lost(&mut self, now: Micros, lease: &LeaseName, term: Term) {
        tracing::info!(lease = &**lease, term, "lease lost");
        self.withdraw_effects(lease, term);
        self.set_health_check_lease(now, lease, false);
        self.set_load_lease(now, lease, false);
    }

    fn on_history_event(&mut self, now: Micros, event: &HistoryEvent) {
        match event {
            HistoryEvent::Agreed { lease, holder, .. } => {
                self.set_load_holder_known(now, lease, holder.is_some());
            }
            HistoryEvent::Restored { .. } => self.update_known_load_holders(now),
            _ => {}
        }
        if let Some(driver) = &mut self.cluster.consensus {
            driver.record(event);
        }
    }

    /// Notifies load coordination which of its leases have a holder in the agreed state.
    pub(super) fn update_known_load_holders(&mut self, now: Micros) {
        let Some(driver) = &self.cluster.consensus else {
            return;
        };
        let leases = &driver.participant.state().leases;
        let known: Vec<(LeaseName, bool)> = lease_names(&driver.file)
            .into_iter()
            .map(|lease| {
                let is_held = leases.record(&lease).holder.is_some();
                (lease, is_held)
            })
            .collect();
        for (lease, is_held) in known {
            self.set_load_holder_known(now, &lease, is_held);
        }
    }

    /// Proposes that a voter is added, removed or replaced, as an operator has requested.
    pub(in crate::gateway) fn exchange_voters(
        &mut self,
        now: Micros,
        joins: Option<String>,
        leaves: Option<String>,
    ) {
        tracing::info!(?joins, ?leaves, "voter exchange requested");
        self.handle_consensus(Input::ChangeVoters {
            added: joins.map(Into::into),
            removed: leaves.map(Into::into),
        });
        self.step_consensus(now);
    }
}
