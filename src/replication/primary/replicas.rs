//! Catching replicas up: their positions, acknowledgements and snapshots, and the messages to them.

use std::sync::Arc;

use super::peer::LogTail;
use super::{Peer, PeerState, Primary, SnapshotTransfer};
use crate::api::Micros;
use crate::replication::config::DisabledGuards;
use crate::replication::wire::Message;
use crate::replication::{ChainDigest, LogPosition, Name, SequenceNumber};

impl Primary {
    /// Starts to catch a replica up, unless it is tracked already.
    pub fn add_peer(&mut self, name: &Name) {
        self.peers.entry(name.clone()).or_insert_with(Peer::new);
    }

    /// Queries a replica's position again, because its connection has ended.
    pub fn disconnected(&mut self, name: &Name) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.restart();
        }
    }

    /// Queries a replica's position again, because another process has started there. Reports of
    /// the previous process do not count.
    pub fn process_restarted(&mut self, name: &Name) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.restart();
            peer.acknowledged = 0;
        }
    }

    /// Returns the digest of the log up to a record; none if the record is no longer in the tail.
    fn chain_at(&self, number: SequenceNumber) -> Option<ChainDigest> {
        if number == self.head.number {
            return Some(self.head.chain);
        }
        let first = self.tail.front()?.before.number;
        let index = usize::try_from(number.checked_sub(first)?).ok()?;
        self.tail.get(index).map(|record| record.before.chain)
    }

    /// Updates the position of a replica, and returns whether a snapshot has to be read for it.
    pub fn update_position(
        &mut self,
        now: Micros,
        name: &Name,
        position: LogPosition,
        disabled_guards: DisabledGuards,
    ) -> bool {
        let chain = self.chain_at(position.number);
        let is_in_log = match disabled_guards.chain_check {
            true => chain.is_some(),
            false => chain == Some(position.chain),
        };
        let Some(peer) = self.peers.get_mut(name) else {
            return false;
        };
        if peer.is_in_snapshot() && !is_in_log {
            return false;
        }
        peer.active_at = now;
        if !is_in_log {
            peer.state = PeerState::ReadingSnapshot;
            return true;
        }
        peer.state = PeerState::Tailing(position.number);
        peer.acknowledged = position.number;
        if peer.acknowledged >= self.head.number {
            peer.outstanding_since = None;
        }
        false
    }

    /// Starts to send a snapshot that was read from this gateway's disk.
    pub fn snapshot_read(
        &mut self,
        now: Micros,
        name: &Name,
        position: LogPosition,
        content: Arc<[u8]>,
    ) {
        if let Some(peer) = self.reading_peer(name) {
            peer.active_at = now;
            peer.state = PeerState::SendingSnapshot(SnapshotTransfer {
                position,
                content,
                next_part: 0,
                acknowledged_parts: 0,
            });
        }
    }

    /// Queries a replica's position again, because no snapshot could be read from this gateway's
    /// disk.
    pub fn snapshot_read_failed(&mut self, now: Micros, name: &Name) {
        if let Some(peer) = self.reading_peer(name) {
            peer.state = PeerState::QueryingPosition;
            peer.active_at = now;
        }
    }

    fn reading_peer(&mut self, name: &Name) -> Option<&mut Peer> {
        self.peers
            .get_mut(name)
            .filter(|peer| peer.state == PeerState::ReadingSnapshot)
    }

    /// Notes that a replica's disk is damaged. The replica does not count until it has a snapshot.
    /// Returns whether a snapshot has to be read for it.
    pub fn replica_corrupt(&mut self, now: Micros, name: &Name) -> bool {
        self.awaiting_position.remove(name);
        let Some(peer) = self.peers.get_mut(name) else {
            return false;
        };
        peer.acknowledged = 0;
        peer.outstanding_since.get_or_insert(now);
        if peer.is_in_snapshot() {
            return false;
        }
        peer.state = PeerState::ReadingSnapshot;
        peer.active_at = now;
        true
    }

    /// Notes that a replica has received a part of a snapshot.
    pub fn snapshot_part_received(&mut self, now: Micros, name: &Name, part: u32) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        if let PeerState::SendingSnapshot(transfer) = &mut peer.state {
            transfer.acknowledged_parts = transfer.acknowledged_parts.max(part + 1);
            peer.active_at = now;
            peer.outstanding_since = Some(now);
        }
    }

    /// Notes that a replica has all records up to a number on its disk.
    pub fn acknowledged(&mut self, now: Micros, name: &Name, number: SequenceNumber) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        if let PeerState::SendingSnapshot(transfer) = &peer.state {
            if number != transfer.position.number {
                return;
            }
            peer.state = PeerState::Tailing(number);
        }
        if number > peer.acknowledged {
            peer.acknowledged = number;
            peer.active_at = now;
            peer.outstanding_since = (number < self.head.number).then_some(now);
        }
    }

    /// Returns the due messages to replicas.
    pub fn next_messages(&mut self, now: Micros, retry_interval: Micros) -> Vec<(Name, Message)> {
        let log = LogTail {
            shard: self.shard,
            epoch: self.epoch,
            last: self.head.number,
            records: &self.tail,
        };
        let mut messages = Vec::new();
        for (name, peer) in &mut self.peers {
            for message in peer.next_messages(log, now, retry_interval) {
                messages.push((name.clone(), message));
            }
        }
        messages
    }
}
