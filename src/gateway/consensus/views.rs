//! Views of consensus and leases for operators. Their JSON keys are part of the administration API.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{json, Value};

use super::setup::lease_names;
use super::{uptime, ConsensusDriver};
use crate::api::Micros;
use crate::gateway::Gateway;
use crate::lease::LeaseName;

/// The vacancy reason that is shown while no leader is known.
const NO_LEADER_KNOWN: &str = "no_leader_known";

impl ConsensusDriver {
    /// The leases with their holders and, for a vacant lease, the reason as far as known here.
    fn lease_views(&self) -> Vec<Value> {
        let now = uptime();
        let participant = &self.participant;
        let table = &participant.state().leases;
        let mut names = lease_names(&self.file);
        names.extend(table.iter().map(|(lease, _)| lease.clone()));
        let held_until: BTreeMap<&LeaseName, Option<Micros>> = participant
            .held_leases()
            .map(|(lease, _, until)| (lease, until))
            .collect();
        let view = |lease: &LeaseName| {
            let record = table.record(lease);
            let holder = record.holder.as_ref();
            let until = held_until.get(lease).copied().flatten();
            json!({
                "duty": lease,
                "term": record.term,
                "owner": holder.map(|holder| &*holder.name),
                "process": holder.map(|holder| holder.incarnation),
                "mine": participant.held_term(now, lease).is_some(),
                "lease_left_ms": until.map(|until| until.saturating_sub(now) / 1_000),
                "why_nobody": self.vacancy_reason(now, lease),
            })
        };
        names.iter().map(view).collect()
    }

    /// The reason why no gateway acts under a lease, as far as known here.
    fn vacancy_reason(&self, now: Micros, lease: &LeaseName) -> Option<Value> {
        let participant = &self.participant;
        if participant.leads() {
            let reason = participant.vacancy_reason(now, lease)?;
            return Some(json!(reason));
        }
        let knows_leader = participant.leader().is_some();
        if knows_leader || participant.catch_up_source().is_some() {
            return None;
        }
        Some(json!(NO_LEADER_KNOWN))
    }
}

impl Gateway {
    /// The state of consensus as seen by this gateway; null while it is off.
    pub(in crate::gateway) fn consensus_view(&self) -> Value {
        let Some(driver) = &self.cluster.consensus else {
            return Value::Null;
        };
        let participant = &driver.participant;
        let state = participant.state();
        let voters: BTreeMap<&str, String> = state
            .voters
            .iter()
            .map(|(replica, name)| (&**name, format!("{replica:016x}")))
            .collect();
        let reached: BTreeSet<&str> = driver
            .peers
            .outbound
            .iter()
            .filter(|(_, key)| self.is_open_peer(**key))
            .map(|(name, _)| &**name)
            .collect();
        json!({
            "name": participant.name(),
            "process": driver.process,
            "generation": state.generation,
            "applied": state.applied,
            "voters": voters,
            "votes": participant.votes(),
            "leads": participant.leads(),
            "leader": participant.leader(),
            "asks": participant.catch_up_source(),
            "why_not_voting": participant.voter_error(),
            "waits_for_its_disk": driver.resource_retry_at.is_some(),
            "log_term": participant.voter().map(|voter| voter.term()),
            "entries": participant.voter().map(|voter| voter.entries()),
            "followers": participant.learners(),
            "seats": participant.replicas(),
            "reached": reached,
            "refused": driver.rejected_frames,
            "able": driver.eligibility.announced,
        })
    }

    /// The leases as seen by this gateway; null while consensus is off.
    pub(in crate::gateway) fn leases_view(&self) -> Value {
        let Some(driver) = &self.cluster.consensus else {
            return Value::Null;
        };
        let participant = &driver.participant;
        json!({
            "name": participant.name(),
            "leads": participant.leads(),
            "leader": participant.leader(),
            "duties": driver.lease_views(),
            "trials": self.health_checks_view(),
            "loads": self.load_coordination_view(),
        })
    }
}
