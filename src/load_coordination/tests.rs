//! Tests of load coordination.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    CopyKey, Input, LoadCoordinator, LoadMessage, Output, ANSWER_TIMEOUT, ASSIGNED_LOAD_TIMEOUT,
    RESIDENT_WINDOW, SHARD_LEASE_PREFIX,
};
use crate::api::{FunctionId, Micros, WorkerId};
use crate::lease::LeaseName;

const COPY: CopyKey = CopyKey {
    worker: WorkerId(3),
    function: FunctionId(70),
};

fn configured_leases(shards: usize) -> BTreeSet<LeaseName> {
    (0..shards)
        .map(|i| format!("{SHARD_LEASE_PREFIX}{i}").into())
        .chain(["trials".into()])
        .collect()
}

fn drain_outputs(coordinator: &mut LoadCoordinator) -> Vec<Output> {
    std::iter::from_fn(|| coordinator.output()).collect()
}

fn new_coordinator(name: &str, is_holder: bool) -> LoadCoordinator {
    let mut coordinator = LoadCoordinator::new(name.into(), &configured_leases(4)).unwrap();
    for shard in coordinator.shards().to_vec() {
        coordinator.handle(0, Input::HolderKnown(shard.clone(), true));
        coordinator.handle(0, Input::LeaseChanged(shard, is_holder));
    }
    coordinator
}

/// Delivers reports to the holder and announcements to all gateways until no output is left. Returns the other outputs.
fn deliver_messages(
    all: &mut [LoadCoordinator],
    holder: usize,
    now: Micros,
) -> Vec<(usize, Output)> {
    let mut rest = Vec::new();
    loop {
        let Some((n, output)) =
            (0..all.len()).find_map(|n| all[n].output().map(|output| (n, output)))
        else {
            return rest;
        };
        match output {
            Output::Report(_, message) => {
                let from = all[n].own_name().clone();
                all[holder].handle(now, Input::ReportReceived(from, message));
            }
            Output::Announce(_, message) => {
                for other in (0..all.len())
                    .filter(|other| *other != n)
                    .collect::<Vec<_>>()
                {
                    all[other].handle(now, Input::Announced(message.clone()));
                }
            }
            other => rest.push((n, other)),
        }
    }
}

#[test]
fn one_of_many_gateways_loads_a_copy_for_all() {
    let mut all: Vec<LoadCoordinator> = (0..20)
        .map(|n| new_coordinator(&format!("n{n}"), n == 4))
        .collect();
    for (n, coordinator) in all.iter_mut().enumerate() {
        coordinator.handle(10, Input::Order(n as u64, COPY));
    }
    let mut orders = deliver_messages(&mut all, 4, 11);
    assert_eq!(orders.len(), 1, "{orders:?}");
    let Some((loader, Output::Load(number))) = orders.pop() else {
        panic!("no order")
    };
    all[loader].handle(300_000, Input::Ended(number, 1));
    let outputs = deliver_messages(&mut all, 4, 300_001);
    assert!(
        outputs.len() == 19
            && outputs
                .iter()
                .all(|(_, output)| matches!(output, Output::AlreadyResident(_, 1))),
        "{outputs:?}"
    );
    assert_eq!(
        all.iter()
            .map(|coordinator| coordinator.avoided_orders)
            .sum::<u64>(),
        19
    );
    // Within `RESIDENT_WINDOW`, another order is not needed either. After it, an order is sent.
    all[0].handle(400_000, Input::Order(77, COPY));
    assert_eq!(
        deliver_messages(&mut all, 4, 400_000),
        [(0, Output::AlreadyResident(77, 1))]
    );
    all[0].handle(400_000 + RESIDENT_WINDOW, Input::Order(78, COPY));
    assert_eq!(
        deliver_messages(&mut all, 4, 400_000 + RESIDENT_WINDOW),
        [(0, Output::Load(78))]
    );
}

#[test]
fn gateway_loads_without_coordination_if_holder_is_silent() {
    let mut coordinator = new_coordinator("a", false);
    coordinator.handle(0, Input::Order(1, COPY));
    assert!(matches!(
        drain_outputs(&mut coordinator)[..],
        [Output::Report(_, LoadMessage::Request(3, 70))]
    ));
    assert_eq!(coordinator.next_deadline(), Some(ANSWER_TIMEOUT));
    coordinator.handle(ANSWER_TIMEOUT, Input::Tick);
    assert_eq!(drain_outputs(&mut coordinator), [Output::Load(1)]);
    // The gateway does not ask the holder again until a message from the holder arrives.
    coordinator.handle(ANSWER_TIMEOUT + 1, Input::Order(8, COPY));
    assert_eq!(drain_outputs(&mut coordinator), [Output::Load(8)]);
    coordinator.handle(
        ANSWER_TIMEOUT + 2,
        Input::Announced(LoadMessage::Resident(9, 70, 1)),
    );
    coordinator.handle(ANSWER_TIMEOUT + 3, Input::Order(9, COPY));
    assert!(matches!(
        drain_outputs(&mut coordinator)[..],
        [Output::Report(..)]
    ));
    coordinator.handle(ANSWER_TIMEOUT + 4, Input::Cancel(9));
    let shard = coordinator.shard(COPY.function).clone();
    coordinator.handle(0, Input::HolderKnown(shard, false));
    coordinator.handle(0, Input::Order(2, COPY));
    assert_eq!(drain_outputs(&mut coordinator), [Output::Load(2)]);
    assert!(LoadCoordinator::new("a".into(), &BTreeSet::from(["trials".into()])).is_none());
}

#[test]
fn failed_load_delays_gateways_no_longer_than_timeout() {
    let mut all: Vec<LoadCoordinator> = (0..3)
        .map(|n| new_coordinator(&format!("n{n}"), n == 0))
        .collect();
    all[1].handle(0, Input::Order(1, COPY));
    assert_eq!(deliver_messages(&mut all, 0, 0), [(1, Output::Load(1))]);
    all[2].handle(10, Input::Order(2, COPY));
    assert_eq!(deliver_messages(&mut all, 0, 10), []);
    all[2].handle(10 + ASSIGNED_LOAD_TIMEOUT, Input::Tick);
    assert_eq!(drain_outputs(&mut all[2]), [Output::Load(2)]);
    // The same if the load ends without a copy.
    all[2].handle(20 + ASSIGNED_LOAD_TIMEOUT, Input::Order(3, COPY));
    let orders = deliver_messages(&mut all, 0, 20 + ASSIGNED_LOAD_TIMEOUT);
    assert_eq!(orders, [(2, Output::Load(3))]);
    all[1].handle(30 + ASSIGNED_LOAD_TIMEOUT, Input::Order(4, COPY));
    assert_eq!(
        deliver_messages(&mut all, 0, 30 + ASSIGNED_LOAD_TIMEOUT),
        []
    );
    all[2].handle(40 + ASSIGNED_LOAD_TIMEOUT, Input::Ended(3, 0));
    assert_eq!(
        deliver_messages(&mut all, 0, 40 + ASSIGNED_LOAD_TIMEOUT),
        [(1, Output::Load(4))]
    );
    // A gateway that has received the assignment does not ask the holder again.
    all[2].handle(50 + ASSIGNED_LOAD_TIMEOUT, Input::Order(5, COPY));
    assert_eq!(
        deliver_messages(&mut all, 0, 50 + ASSIGNED_LOAD_TIMEOUT),
        [(2, Output::Load(5))]
    );
    all[1].handle(60 + ASSIGNED_LOAD_TIMEOUT, Input::Order(6, COPY));
    assert_eq!(drain_outputs(&mut all[1]), []);
}

#[test]
fn former_holder_is_silent_and_cancelled_order_is_dropped() {
    let mut coordinator = new_coordinator("a", true);
    let shard = coordinator.shard(COPY.function).clone();
    coordinator.handle(0, Input::LeaseChanged(shard, false));
    coordinator.handle(
        1,
        Input::ReportReceived("b".into(), LoadMessage::Request(3, 70)),
    );
    assert_eq!(drain_outputs(&mut coordinator), []);
    coordinator.handle(2, Input::Order(5, COPY));
    drain_outputs(&mut coordinator);
    coordinator.handle(3, Input::Cancel(5));
    coordinator.handle(4 + ANSWER_TIMEOUT, Input::Tick);
    assert_eq!(
        (drain_outputs(&mut coordinator), coordinator.next_deadline()),
        (vec![], None)
    );
}

#[test]
fn functions_spread_evenly_over_same_shards_everywhere() {
    let (a, b) = (new_coordinator("a", false), new_coordinator("b", true));
    let mut counts: BTreeMap<LeaseName, usize> = BTreeMap::new();
    for function in 0..4_000 {
        assert_eq!(a.shard(FunctionId(function)), b.shard(FunctionId(function)));
        *counts
            .entry(a.shard(FunctionId(function)).clone())
            .or_default() += 1;
    }
    assert!(
        counts.len() == 4 && counts.values().all(|count| (700..1_300).contains(count)),
        "{counts:?}"
    );
}
