//! Placement of shards on gateways by rendezvous hashing, spread over as many halls as possible. A
//! gateway that joins or leaves moves only its own share of the shards.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use super::{Name, ShardId};

#[cfg(test)]
mod tests;

/// A gateway that may hold replicas.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Host {
    /// The gateway.
    pub name: Name,
    /// The hall that the gateway is in, a failure domain. All gateways without a hall count as one
    /// hall.
    pub hall: Option<String>,
}

fn weight(shard: ShardId, name: &str) -> u64 {
    let mut hash = blake3::Hasher::new_derive_key("molelug shard's hosts 1");
    hash.update(&shard.to_le_bytes());
    hash.update(name.as_bytes());
    hash.finalize()
        .as_bytes()
        .first_chunk::<8>()
        .map_or(0, |bytes| u64::from_le_bytes(*bytes))
}

/// Returns all gateways in the order in which they are chosen for a shard: first one gateway of
/// each hall, then the others.
pub fn replica_order(shard: ShardId, hosts: &[Host]) -> Vec<Name> {
    let mut by_weight: Vec<&Host> = hosts.iter().collect();
    by_weight.sort_by_key(|host| Reverse((weight(shard, &host.name), host.name.clone())));
    let mut halls = BTreeSet::new();
    let (first_of_hall, others): (Vec<&Host>, Vec<&Host>) = by_weight
        .into_iter()
        .partition(|host| halls.insert(&host.hall));
    first_of_hall
        .into_iter()
        .chain(others)
        .map(|host| host.name.clone())
        .collect()
}

/// Returns the next eligible gateway for a shard that is not a member yet. Halls without a member
/// are preferred.
pub fn next_replica(
    shard: ShardId,
    hosts: &[Host],
    members: &BTreeSet<Name>,
    is_eligible: impl Fn(&Name) -> bool,
) -> Option<Name> {
    let hall_of = |name: &Name| {
        hosts
            .iter()
            .find(|host| host.name == *name)
            .and_then(|host| host.hall.as_ref())
    };
    let used_halls: BTreeSet<Option<&String>> = members.iter().map(hall_of).collect();
    let order = replica_order(shard, hosts);
    let candidates: Vec<&Name> = order
        .iter()
        .filter(|name| !members.contains(*name) && is_eligible(name))
        .collect();
    candidates
        .iter()
        .find(|name| !used_halls.contains(&hall_of(name)))
        .or(candidates.first())
        .map(|name| (*name).clone())
}
