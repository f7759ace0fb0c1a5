//! Which gateways are to hold a shard: by rendezvous hashing, so that one that comes or goes moves no more than its own part,
//! and spread over halls while there are any without a copy.

use std::collections::BTreeSet;

use super::{Name, ShardId};

/// A gateway that may hold copies, and where it stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Host {
    /// Its name.
    pub name: Name,
    /// Its hall; all that have none count as one.
    pub hall: Option<String>,
}

fn weight(shard: ShardId, name: &str) -> u64 {
    let mut hash = blake3::Hasher::new_derive_key("molelug shard's hosts 1");
    hash.update(&shard.to_le_bytes());
    hash.update(name.as_bytes());
    let bytes = hash.finalize();
    bytes
        .as_bytes()
        .first_chunk::<8>()
        .map_or(0, |b| u64::from_le_bytes(*b))
}

/// All of them in the order in which they are asked to hold a shard: the first ones in different halls.
pub fn replica_order(shard: ShardId, hosts: &[Host]) -> Vec<Name> {
    let mut by_weight: Vec<&Host> = hosts.iter().collect();
    by_weight.sort_by_key(|h| std::cmp::Reverse((weight(shard, &h.name), h.name.clone())));
    let mut halls = BTreeSet::new();
    let (first, rest): (Vec<&Host>, Vec<&Host>) =
        by_weight.into_iter().partition(|h| halls.insert(&h.hall));
    first
        .into_iter()
        .chain(rest)
        .map(|h| h.name.clone())
        .collect()
}

/// The next that is asked to hold a shard besides those that do: one in a hall of its own if there is any.
pub fn next_replica(
    shard: ShardId,
    hosts: &[Host],
    have: &BTreeSet<Name>,
    may: impl Fn(&Name) -> bool,
) -> Option<Name> {
    let hall = |name: &Name| {
        hosts
            .iter()
            .find(|h| h.name == *name)
            .and_then(|h| h.hall.as_ref())
    };
    let taken: BTreeSet<Option<&String>> = have.iter().map(hall).collect();
    let order = replica_order(shard, hosts);
    let free: Vec<&Name> = order
        .iter()
        .filter(|n| !have.contains(*n) && may(n))
        .collect();
    free.iter()
        .find(|n| !taken.contains(&hall(n)))
        .or(free.first())
        .map(|n| (*n).clone())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn hosts(n: usize, halls: usize) -> Vec<Host> {
        let host = |i| Host {
            name: format!("g{i}").into(),
            hall: (halls > 0).then(|| format!("h{}", i % halls)),
        };
        (0..n).map(host).collect()
    }

    #[test]
    fn copies_lie_in_different_halls_and_move_no_more_than_they_have_to() {
        let all = hosts(9, 3);
        let (mut moved, mut first) = (0, [0; 9]);
        for shard in 1..=300 {
            let o = replica_order(shard, &all);
            let halls: BTreeSet<_> = o[..3]
                .iter()
                .map(|n| n[1..].parse::<usize>().unwrap() % 3)
                .collect();
            assert_eq!(halls.len(), 3, "shard {shard}");
            first[o[0][1..].parse::<usize>().unwrap()] += 1;
            let fewer = replica_order(shard, &all[..8]);
            moved += usize::from(o[0] != fewer[0]);
            assert!(o[0] == fewer[0] || &*o[0] == "g8");
        }
        assert!(moved > 10 && moved < 70, "{moved}");
        assert!(first.iter().all(|n| (12..60).contains(n)), "{first:?}");
    }

    #[test]
    fn the_next_copy_goes_to_a_hall_without_one_and_to_any_if_there_is_none() {
        for halls in [0, 1, 3] {
            let all = hosts(6, halls);
            for shard in 1..50 {
                let have: BTreeSet<Name> = [replica_order(shard, &all)[0].clone()].into();
                let got = next_replica(shard, &all, &have, |_| true).unwrap();
                assert!(!have.contains(&got));
                if halls == 3 {
                    let hall = |n: &Name| n[1..].parse::<usize>().unwrap() % 3;
                    assert_ne!(hall(&got), hall(have.first().unwrap()));
                }
                assert_eq!(next_replica(shard, &all, &have, |_| false), None);
            }
        }
    }
}
