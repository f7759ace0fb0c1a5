//! Carries out the outputs of the replicator.

use crate::api::Micros;
use crate::consensus::state::SubsystemEntry;
use crate::consensus::{participant, wire as frames};
use crate::gateway::{consensus, Gateway};
use crate::replication::history::HistoryEvent;
use crate::replication::replicator::Output;
use crate::replication::ShardId;
use crate::store::error::StoreError;
use crate::store::operations::Reply;

impl Gateway {
    pub(super) fn perform_replication_output(&mut self, now: Micros, output: Output) {
        let (Some(driver), Some(webhooks)) =
            (&mut self.cluster.replication, &mut self.secondary.webhooks)
        else {
            return;
        };
        match output {
            Output::Send(to, message) => {
                self.send_frame(now, &to, frames::Body::Replication(message));
            }
            Output::Propose(entry) => {
                let entry = SubsystemEntry::ReplicaSets(entry);
                self.handle_consensus(participant::Input::Submit(entry));
            }
            Output::StoreRecord {
                shard,
                position,
                record,
                waiter,
            } => webhooks.store_shard_record(shard, position, &record, waiter),
            Output::InstallSnapshot {
                shard,
                position,
                content,
            } => webhooks.install_shard(shard, position, content),
            Output::ReadSnapshot(shard, peer) => webhooks.read_shard_snapshot(shard, peer),
            Output::VerifyDisk => webhooks.verify_shards(),
            Output::AcceptDamage(shard) => webhooks.accept_shard_damage(shard),
            Output::Committed(waiter, _) => {
                let reply = driver.uncommitted_replies.remove(&waiter);
                webhooks.reply(waiter, Ok(reply.unwrap_or(Reply::Done)));
            }
            Output::Rejected(waiter, error) => {
                driver.uncommitted_replies.remove(&waiter);
                webhooks.reply(waiter, Err(StoreError::NotCommitted(error)));
            }
            Output::BecomePrimary(shard, epoch) => webhooks.become_shard_primary(shard, epoch),
            Output::StepDown(shard) => self.step_down_from_shard(now, shard),
            Output::HandleRequest {
                shard,
                peer,
                number,
                request,
            } => self.handle_primary_request(now, shard, peer, number, &request),
            Output::Response(waiter, outcome) => {
                self.handle_primary_response(now, waiter, outcome);
            }
            Output::DiskRejected => self.replace_rejected_disk(),
            Output::RecordEvent(event) => {
                log_event(&event);
                driver.history.record(&event);
            }
        }
    }

    /// Stops the calls and deliveries of a shard of which this process is no longer the primary.
    fn step_down_from_shard(&mut self, now: Micros, shard: ShardId) {
        if let Some(driver) = &mut self.cluster.replication {
            driver.open_shards.remove(&shard);
        }
        tracing::warn!(shard, "a shard is led here no more");
        let Some(webhooks) = &mut self.secondary.webhooks else {
            return;
        };
        for request in webhooks.resign_shard(now, shard) {
            self.core.client_disconnected(now, request);
        }
    }

    /// Gives the rejected disk a new identifier and drops its shards.
    fn replace_rejected_disk(&mut self) {
        tracing::error!(
            "the disk is an old copy, or another process has used it since: its shards are dropped and copied again \
             from other gateways; start each gateway on its own newest disk"
        );
        let id = self.config.seed ^ consensus::uptime();
        if let Some(webhooks) = &mut self.secondary.webhooks {
            webhooks.register_disk(id, true);
        }
    }
}

/// Logs an event that an operator has to know of.
fn log_event(event: &HistoryEvent) {
    match event {
        HistoryEvent::BecamePrimary {
            shard,
            epoch,
            members,
            ..
        } => tracing::info!(shard, epoch, ?members, "a shard is led here"),
        HistoryEvent::DataLost { shard } => tracing::error!(
            shard,
            "all disks that held this shard are lost, and its acknowledged records with them; raise copies, \
             or spread members over more halls"
        ),
        HistoryEvent::RecoveredFromFormer { shard } => tracing::error!(
            shard,
            "all disks that held this shard are lost; this disk had left the replica set and has the records \
             acknowledged until then; records accepted by fewer machines since are lost; raise copies, or spread \
             members over more halls"
        ),
        HistoryEvent::Damaged { shard, ranges } => tracing::error!(
            shard,
            ?ranges,
            "the disk does not hold what was written: the shard is copied again from another disk; check this \
             machine's disk and memory, and replace the machine if this recurs"
        ),
        HistoryEvent::WaitingForReplica { shard, members } => tracing::error!(
            shard,
            ?members,
            "this gateway's disk is damaged, and no other gateway that holds the shard can be reached: bring one of \
             them back; or, if their disks are lost, start them with empty disks, and the rest of the data here is used"
        ),
        HistoryEvent::DamageRefuted { shard } => tracing::warn!(
            shard,
            "one read of a shard found damage and a second read did not: the shard continues; check this machine's \
             memory if this recurs"
        ),
        HistoryEvent::Repaired { shard, accepted } => log_repair(*shard, *accepted),
        _ => {}
    }
}

fn log_repair(shard: ShardId, accepted: bool) {
    if accepted {
        tracing::error!(
            shard,
            "no other disk has a damaged shard: the rest of its data is used, and acknowledged records may be lost; \
             raise copies"
        );
    } else {
        tracing::info!(shard, "damaged shard repaired from another disk");
    }
}
