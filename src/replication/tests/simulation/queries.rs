//! Queries of the state of a simulation.

use std::collections::BTreeSet;

use super::{gateway_index, Simulation, SHARDS};
use crate::replication::history::HistoryEvent;
use crate::replication::replica_sets::{ReplicaSet, ReplicaSets};
use crate::replication::{Name, ShardId};

impl Simulation {
    /// Returns whether a gateway regards itself as the primary of a shard.
    pub(in crate::replication::tests) fn is_primary(&self, index: usize, shard: ShardId) -> bool {
        let replicator = self.gateways[index].replicator.as_ref();
        replicator.is_some_and(|replicator| replicator.is_primary(shard))
    }

    /// Returns the number of shards of which a gateway regards itself as the primary.
    pub(in crate::replication::tests) fn primary_count(&self, index: usize) -> usize {
        (1..=SHARDS)
            .filter(|shard| self.is_primary(index, *shard))
            .count()
    }

    /// Returns the agreed state.
    pub(in crate::replication::tests) fn replica_sets(&self) -> &ReplicaSets {
        self.states.last().unwrap()
    }

    /// Returns the agreed set of a shard.
    pub(in crate::replication::tests) fn replica_set(&self, shard: ShardId) -> ReplicaSet {
        self.replica_sets().replica_set(shard)
    }

    /// Returns the agreed members of a shard.
    pub(in crate::replication::tests) fn members(&self, shard: ShardId) -> BTreeSet<Name> {
        self.replica_set(shard).members
    }

    /// Returns the agreed primary of a shard.
    pub(in crate::replication::tests) fn agreed_primary(&self, shard: ShardId) -> usize {
        gateway_index(&self.replica_set(shard).primary.unwrap())
    }

    /// Counts the events of the histories that match.
    pub(in crate::replication::tests) fn count_events(
        &self,
        matches: impl Fn(&HistoryEvent) -> bool,
    ) -> usize {
        self.history
            .iter()
            .filter(|(_, event)| matches(event))
            .count()
    }
}
