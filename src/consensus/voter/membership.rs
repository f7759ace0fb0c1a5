//! Changes of the set of voters.

use std::sync::Arc;

use raft::eraftpb::{ConfChange, ConfChangeType};

use super::Voter;
use crate::consensus::state::Entry;
use crate::consensus::{ReplicaId, MAX_VOTERS};

impl Voter {
    /// Proposes one change of the voters: the addition, or the removal if the addition is done or impossible. The last voter
    /// cannot be removed.
    pub(super) fn propose_voter_change(
        &mut self,
        added: Option<(ReplicaId, Arc<str>)>,
        removed: Option<ReplicaId>,
    ) {
        let voters = &self.state.voters;
        let to_add =
            added.filter(|(replica, _)| !voters.contains_key(replica) && voters.len() < MAX_VOTERS);
        let to_remove = removed.filter(|replica| voters.contains_key(replica) && voters.len() > 1);
        let mut change = ConfChange::default();
        let mut new_voters = voters.clone();
        // The addition comes first: a smaller set of voters tolerates fewer failures.
        match (to_add, to_remove) {
            (Some((replica, name)), _) => {
                change.set_change_type(ConfChangeType::AddNode);
                change.node_id = replica;
                new_voters.insert(replica, name);
            }
            (None, Some(replica)) => {
                change.set_change_type(ConfChangeType::RemoveNode);
                change.node_id = replica;
                new_voters.remove(&replica);
            }
            (None, None) => return,
        }
        let Ok(context) = postcard::to_stdvec(&Entry::Voters(new_voters)) else {
            return;
        };
        if self.leads() {
            self.with_raft(|raw| drop(raw.propose_conf_change(context, change)));
        }
    }
}
