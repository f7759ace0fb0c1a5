//! Changes of the voters.

use std::sync::Arc;

use raft::eraftpb::{ConfChange, ConfChangeType};

use super::Voter;
use crate::consensus::state::Entry;
use crate::consensus::{ReplicaId, MAX_VOTERS};

impl Voter {
    /// Proposes one change of the voters; the last voter cannot be removed.
    pub(super) fn exchange(
        &mut self,
        joins: Option<(ReplicaId, Arc<str>)>,
        leaves: Option<ReplicaId>,
    ) {
        let voters = &self.state.voters;
        let joining =
            joins.filter(|(replica, _)| !voters.contains_key(replica) && voters.len() < MAX_VOTERS);
        let leaving = leaves.filter(|replica| voters.contains_key(replica) && voters.len() > 1);
        let mut change = ConfChange::default();
        let mut after = voters.clone();
        // The new voter joins before the old one leaves: with fewer voters, fewer may fail.
        match (joining, leaving) {
            (Some((replica, name)), _) => {
                change.set_change_type(ConfChangeType::AddNode);
                change.node_id = replica;
                after.insert(replica, name);
            }
            (None, Some(replica)) => {
                change.set_change_type(ConfChangeType::RemoveNode);
                change.node_id = replica;
                after.remove(&replica);
            }
            (None, None) => return,
        }
        let Ok(context) = postcard::to_stdvec(&Entry::Voters(after)) else {
            return;
        };
        if self.leads() {
            self.with_raft(|raw| drop(raw.propose_conf_change(context, change)));
        }
    }
}
