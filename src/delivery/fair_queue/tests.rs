//! Tests of `delivery::fair_queue`.

use super::*;
use std::collections::BTreeMap;

#[test]
fn tenants_share_evenly_whatever_their_endpoints_and_sizes() {
    let mut turns: FairQueue<u8, (u8, u8)> = FairQueue::default();
    // Tenant 0 has ten endpoints, tenant 1 one with large pieces, tenant 2 one with small ones.
    let all: Vec<(u8, u8)> = (0..10).map(|e| (0, e)).chain([(1, 0), (2, 0)]).collect();
    let mut spent: BTreeMap<u8, u32> = BTreeMap::new();
    let cost = |e: (u8, u8)| if e.0 == 1 { 20 } else { 1 };
    all.iter().for_each(|e| turns.join(e.0, *e));
    for _ in 0..3000 {
        let e = turns.next(|e| Some(cost(e))).unwrap();
        *spent.entry(e.0).or_default() += cost(e);
    }
    let (least, most) = (spent.values().min().unwrap(), spent.values().max().unwrap());
    assert!(most - least <= 3 * 28, "{spent:?}");
}

#[test]
fn what_may_not_go_leaves_the_ring_and_comes_back_when_it_joins() {
    let mut turns: FairQueue<u8, u8> = FairQueue::default();
    turns.join(1, 1);
    turns.join(2, 2);
    assert_eq!(turns.next(|e| (e == 2).then_some(1)), Some(2));
    assert_eq!(turns.next(|_| None), None);
    assert!(
        turns.tenants.is_empty() && turns.endpoints.is_empty(),
        "nothing is kept of who left"
    );
    turns.join(1, 1);
    turns.join(1, 1);
    assert_eq!(
        (turns.next(|_| Some(1)), turns.endpoints[&1].order.len()),
        (Some(1), 1)
    );
}
