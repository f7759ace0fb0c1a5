//! Tests of `delivery::fair_queue`.

use super::*;
use std::collections::BTreeMap;

#[test]
fn tenants_share_evenly_despite_endpoint_count_and_size() {
    let mut queue: FairQueue<u8, (u8, u8)> = FairQueue::default();
    // Tenant 0 has ten endpoints, tenant 1 one with large items, tenant 2 one with small items.
    let all: Vec<(u8, u8)> = (0..10).map(|e| (0, e)).chain([(1, 0), (2, 0)]).collect();
    let mut spent: BTreeMap<u8, u32> = BTreeMap::new();
    let cost = |e: (u8, u8)| if e.0 == 1 { 20 } else { 1 };
    all.iter().for_each(|e| queue.enqueue(e.0, *e));
    for _ in 0..3000 {
        let e = queue.next(|e| Some(cost(e))).unwrap();
        *spent.entry(e.0).or_default() += cost(e);
    }
    let (least, most) = (spent.values().min().unwrap(), spent.values().max().unwrap());
    assert!(most - least <= 3 * 28, "{spent:?}");
}

#[test]
fn blocked_key_leaves_ring_until_it_is_enqueued_again() {
    let mut queue: FairQueue<u8, u8> = FairQueue::default();
    queue.enqueue(1, 1);
    queue.enqueue(2, 2);
    assert_eq!(queue.next(|e| (e == 2).then_some(1)), Some(2));
    assert_eq!(queue.next(|_| None), None);
    assert!(
        queue.tenants.is_empty() && queue.endpoints.is_empty(),
        "blocked queues leave no entries"
    );
    queue.enqueue(1, 1);
    queue.enqueue(1, 1);
    assert_eq!(
        (queue.next(|_| Some(1)), queue.endpoints[&1].order.len()),
        (Some(1), 1)
    );
}
