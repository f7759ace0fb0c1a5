//! A shard's primary: its log, the replicas that have to acknowledge it, and the commits.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use super::config::DisabledGuards;
use super::wire::MAX_RECORD_BYTES;
use super::{Epoch, LogPosition, Name, SequenceNumber, ShardId};
use crate::api::Micros;

mod peer;
mod replicas;

use peer::Record;
pub use peer::{Peer, PeerState, SnapshotTransfer};

/// The maximum number of bytes of records that are kept for replicas to catch up.
pub const MAX_TAIL_BYTES: usize = 4 << 20;
/// The maximum number of bytes of records that are not committed.
pub const MAX_UNCOMMITTED_BYTES: usize = 4 << 20;

/// The number under which a commit is reported.
pub type CommitWaiter = u64;

/// The epoch and members under which a primary starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrimaryTerm {
    /// The epoch.
    pub epoch: Epoch,
    /// The members of the replica set, including the primary.
    pub members: BTreeSet<Name>,
}

/// The progress of this gateway's replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalProgress {
    /// The position of the last record, on the disk or in a pending write.
    pub head: LogPosition,
    /// The number of the last record on the disk.
    pub stored: SequenceNumber,
}

/// A record that was committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Commit {
    /// The number under which the commit is reported.
    pub waiter: CommitWaiter,
    /// The position of the record.
    pub position: LogPosition,
}

/// Whether the shard's state was read from the disk since this process became its primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum StateRead {
    /// The read was not requested.
    #[default]
    Pending,
    /// The read was requested under this epoch.
    Requested(Epoch),
    /// The state was read: this process knows all work in progress.
    Complete,
}

/// The state of a shard while this process is its primary.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Primary {
    shard: ShardId,
    /// The epoch.
    pub epoch: Epoch,
    /// The agreed members of the replica set.
    pub members: BTreeSet<Name>,
    /// Members that a proposed change of this epoch may already have added; commits wait for them
    /// too.
    pub proposed_members: BTreeSet<Name>,
    /// The position of the last record.
    pub head: LogPosition,
    /// The number of the last record on this gateway's disk.
    pub stored: SequenceNumber,
    /// The number of the last record that all members have.
    pub committed: SequenceNumber,
    /// The number of records up to `committed` that are not reported as committed, because they
    /// need more replicas than the set has.
    pub under_replicated: usize,
    tail: VecDeque<Record>,
    tail_bytes: usize,
    uncommitted_bytes: usize,
    started_at: Micros,
    /// Members that have not reported their position yet. The primary waits for the reachable ones
    /// before it accepts records.
    awaiting_position: BTreeSet<Name>,
    /// Whether records are accepted.
    pub is_open: bool,
    /// Whether the shard's state was read.
    pub state_read: StateRead,
    /// The replicas that the primary keeps up to date or catches up.
    pub peers: BTreeMap<Name, Peer>,
    /// When a change of the replica set was last proposed.
    pub proposed_at: Option<Micros>,
    /// The time since which a member lags; none if none does.
    pub lagging_since: Option<Micros>,
}

impl Primary {
    /// Creates a primary with the log on this gateway's disk. Other members may lack records of it,
    /// so a record counts as committed only once all members have it.
    pub fn new(
        now: Micros,
        me: &Name,
        shard: ShardId,
        term: PrimaryTerm,
        progress: LocalProgress,
    ) -> Primary {
        let mut awaiting_position = term.members.clone();
        awaiting_position.remove(me);
        Primary {
            shard,
            epoch: term.epoch,
            members: term.members,
            proposed_members: BTreeSet::new(),
            head: progress.head,
            stored: progress.stored,
            committed: 0,
            under_replicated: 0,
            tail: VecDeque::new(),
            tail_bytes: 0,
            uncommitted_bytes: 0,
            started_at: now,
            awaiting_position,
            is_open: false,
            state_read: StateRead::Pending,
            peers: BTreeMap::new(),
            proposed_at: None,
            lagging_since: None,
        }
    }

    /// Returns whether the primary can start to accept records: all reachable members have reported
    /// their positions, or the timeout has passed.
    pub fn can_open(
        &self,
        now: Micros,
        timeout: Micros,
        is_reachable: impl Fn(&Name) -> bool,
    ) -> bool {
        let is_awaited = self
            .awaiting_position
            .iter()
            .any(|name| self.members.contains(name) && is_reachable(name));
        !self.is_open && (!is_awaited || self.started_at + timeout <= now)
    }

    /// Notes that a member has reported its position.
    pub fn position_received(&mut self, name: &Name) {
        self.awaiting_position.remove(name);
    }

    /// Continues under another epoch. Messages in flight belong to the previous epoch and do not
    /// count.
    pub fn reconfigure(&mut self, term: PrimaryTerm) {
        self.epoch = term.epoch;
        self.members = term.members;
        self.proposed_at = None;
        self.proposed_members.clear();
        for peer in self.peers.values_mut() {
            peer.restart();
        }
    }

    /// Returns the bytes of records that are not committed.
    pub fn uncommitted_bytes(&self) -> usize {
        self.uncommitted_bytes
    }

    /// Appends a record, and returns its position.
    pub fn append(
        &mut self,
        bytes: Arc<[u8]>,
        waiter: CommitWaiter,
        min_replicas: usize,
    ) -> LogPosition {
        let before = self.head;
        self.head = before.advance(&bytes);
        self.tail_bytes += bytes.len();
        self.uncommitted_bytes += bytes.len();
        self.tail.push_back(Record {
            before,
            bytes,
            waiter: Some(waiter),
            min_replicas,
        });
        self.head
    }

    /// Returns the number of replicas that a committed record has.
    pub fn replica_count(&self) -> usize {
        self.members.len()
    }

    /// Commits the records that all members have, and returns them in order. The replica set may
    /// have shrunk since a record was accepted: a record that needs more replicas waits until there
    /// are enough, and does not block later records.
    pub fn commit(&mut self, me: &Name, disabled_guards: DisabledGuards) -> Vec<Commit> {
        let mut commits = Vec::new();
        let replicated = self.replicated(me, disabled_guards);
        if replicated > self.committed || self.under_replicated > 0 {
            self.committed = self.committed.max(replicated);
            commits = self.report_commits(replicated, disabled_guards);
        }
        self.trim_tail();
        commits
    }

    /// Returns the number of the last record that this gateway and all other required members have
    /// on their disks.
    fn replicated(&self, me: &Name, disabled_guards: DisabledGuards) -> SequenceNumber {
        if disabled_guards.full_acknowledgement {
            return self.stored;
        }
        let required = self
            .members
            .union(&self.proposed_members)
            .filter(|name| *name != me);
        required
            .map(|name| self.peers.get(name).map_or(0, |peer| peer.acknowledged))
            .min()
            .map_or(self.stored, |acknowledged| self.stored.min(acknowledged))
    }

    fn report_commits(
        &mut self,
        replicated: SequenceNumber,
        disabled_guards: DisabledGuards,
    ) -> Vec<Commit> {
        let replicas = self.replica_count();
        let mut commits = Vec::new();
        self.under_replicated = 0;
        for record in &mut self.tail {
            if record.before.number >= replicated || record.waiter.is_none() {
                continue;
            }
            if record.min_replicas > replicas && !disabled_guards.min_replicas_check {
                self.under_replicated += 1;
            } else if let Some(waiter) = record.waiter.take() {
                self.uncommitted_bytes -= record.bytes.len();
                let position = record.before.advance(&record.bytes);
                commits.push(Commit { waiter, position });
            }
        }
        commits
    }

    /// Removes the oldest records while the tail is too large, but only records that all members
    /// have and whose commits were reported.
    fn trim_tail(&mut self) {
        while self.tail_bytes > MAX_TAIL_BYTES {
            let oldest = self.tail.pop_front_if(|record| {
                record.before.number < self.committed && record.waiter.is_none()
            });
            let Some(record) = oldest else {
                return;
            };
            self.tail_bytes -= record.bytes.len();
        }
    }

    /// Returns the waiters of the records that are not reported as committed.
    pub fn uncommitted_waiters(&self) -> Vec<CommitWaiter> {
        self.tail
            .iter()
            .filter_map(|record| record.waiter)
            .collect()
    }

    /// Returns a member whose acknowledgement has been outstanding for a timeout.
    pub fn lagging_member(&self, now: Micros, me: &Name, timeout: Micros) -> Option<Name> {
        self.members
            .iter()
            .find(|name| *name != me && self.is_lagging(now, name, timeout))
            .cloned()
    }

    /// Returns whether a replica's acknowledgement has been outstanding for a timeout.
    pub fn is_lagging(&self, now: Micros, name: &Name, timeout: Micros) -> bool {
        self.peers
            .get(name)
            .is_some_and(|peer| peer.is_overdue(now, timeout))
    }

    /// Returns a replica outside the set that has caught up and can be added.
    pub fn caught_up_candidate(&self) -> Option<Name> {
        let required = self.committed.max(self.stored);
        let has_caught_up = |peer: &Peer| {
            matches!(peer.state, PeerState::Tailing(_)) && peer.acknowledged >= required
        };
        self.peers
            .iter()
            .find(|(name, peer)| !self.members.contains(*name) && has_caught_up(peer))
            .map(|(name, _)| name.clone())
    }

    /// Returns a member that has the whole log, once all of it is committed.
    pub fn successor(&self, me: &Name) -> Option<Name> {
        if self.committed < self.head.number {
            return None;
        }
        let has_all = |name: &Name| {
            self.peers
                .get(name)
                .is_some_and(|peer| peer.acknowledged >= self.head.number)
        };
        self.members
            .iter()
            .find(|name| *name != me && has_all(name))
            .cloned()
    }

    /// Returns the member with the most records among the eligible members that have all committed
    /// records.
    pub fn most_advanced(&self, me: &Name, is_eligible: impl Fn(&Name) -> bool) -> Option<Name> {
        let progress = |name: &Name| {
            self.peers
                .get(name)
                .map(|peer| peer.acknowledged)
                .filter(|acknowledged| *acknowledged >= self.committed)
        };
        self.members
            .iter()
            .filter(|name| *name != me && is_eligible(name))
            .filter_map(|name| Some((progress(name)?, name)))
            .max_by_key(|(acknowledged, name)| (*acknowledged, Reverse(*name)))
            .map(|(_, name)| name.clone())
    }

    /// Returns whether a member has more records than this gateway had when it became the primary.
    pub fn is_ahead(&self, name: &Name, position: LogPosition) -> bool {
        self.tail.is_empty() && self.members.contains(name) && position.number > self.head.number
    }

    /// Returns the replica outside the set that is being caught up.
    pub fn joining(&self) -> Option<&Name> {
        self.peers.keys().find(|name| !self.members.contains(*name))
    }
}

/// Returns whether a record of this size is within [`MAX_RECORD_BYTES`].
pub fn is_within_record_limit(bytes: usize) -> bool {
    bytes <= MAX_RECORD_BYTES
}
