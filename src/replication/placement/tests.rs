//! Placement: spread over halls, and stability.

use std::collections::BTreeSet;

use super::{next_replica, replica_order, Host};
use crate::replication::Name;

fn hosts(count: usize, halls: usize) -> Vec<Host> {
    let host = |index| Host {
        name: format!("g{index}").into(),
        hall: (halls > 0).then(|| format!("h{}", index % halls)),
    };
    (0..count).map(host).collect()
}

fn index(name: &Name) -> usize {
    name[1..].parse().unwrap()
}

#[test]
fn replicas_spread_over_halls_and_move_minimally() {
    let hosts = hosts(9, 3);
    let (mut moved, mut first) = (0, [0; 9]);
    for shard in 1..=300 {
        let order = replica_order(shard, &hosts);
        let halls: BTreeSet<_> = order[..3].iter().map(|name| index(name) % 3).collect();
        assert_eq!(halls.len(), 3, "shard {shard}");
        first[index(&order[0])] += 1;
        let fewer = replica_order(shard, &hosts[..8]);
        moved += usize::from(order[0] != fewer[0]);
        assert!(order[0] == fewer[0] || &*order[0] == "g8");
    }
    assert!(moved > 10 && moved < 70, "{moved}");
    assert!(
        first.iter().all(|count| (12..60).contains(count)),
        "{first:?}"
    );
}

#[test]
fn next_replica_prefers_unused_hall() {
    for halls in [0, 1, 3] {
        let hosts = hosts(6, halls);
        for shard in 1..50 {
            let members: BTreeSet<Name> = [replica_order(shard, &hosts)[0].clone()].into();
            let next = next_replica(shard, &hosts, &members, |_| true).unwrap();
            assert!(!members.contains(&next));
            if halls == 3 {
                assert_ne!(index(&next) % 3, index(members.first().unwrap()) % 3);
            }
            assert_eq!(next_replica(shard, &hosts, &members, |_| false), None);
        }
    }
}
