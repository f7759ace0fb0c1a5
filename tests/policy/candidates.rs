//! Tests of `policy::candidates`.

use proptest::prelude::*;
use std::collections::BTreeSet;

use super::*;

const FUNCTION: FunctionId = FunctionId(7);

fn ranked(available: &BTreeSet<WorkerId>) -> Vec<WorkerId> {
    let mut workers: Vec<WorkerId> = available.iter().copied().collect();
    workers.sort_by_key(|worker| rendezvous_hash(FUNCTION, *worker));
    workers.truncate(MAX_CANDIDATES);
    workers
}

proptest! {
    /// Candidates that follow single changes are the first of all available workers, whatever the
    /// order of the changes.
    #[test]
    fn followed_changes_give_the_first_available_workers(
        start in 0..200u32,
        changes in proptest::collection::vec((0..260u32, any::<bool>()), 0..300),
    ) {
        let mut available: BTreeSet<WorkerId> = (0..start).map(WorkerId).collect();
        let mut candidates = Candidates::default();
        candidates.rank_all(FUNCTION, available.iter().copied());
        for (worker, is_available) in changes {
            let worker = WorkerId(worker);
            if is_available {
                available.insert(worker);
            } else {
                available.remove(&worker);
            }
            if !candidates.apply(FUNCTION, worker, || is_available) {
                candidates.rank_all(FUNCTION, available.iter().copied());
            }
            candidates.take_first();
            prop_assert_eq!(candidates.workers(), ranked(&available));
        }
    }
}

#[test]
fn forgotten_changes_require_a_new_ranking() {
    let mut changes = AvailabilityChanges::default();
    changes.record(WorkerId(1), MAX_REMEMBERED_CHANGES);
    assert_eq!(changes.since(0).map(Iterator::count), Some(1));
    for worker in 0..MAX_REMEMBERED_CHANGES as u32 {
        changes.record(WorkerId(worker), MAX_REMEMBERED_CHANGES);
    }
    assert!(changes.since(0).is_none());
    assert_eq!(
        changes.since(1).map(Iterator::count),
        Some(MAX_REMEMBERED_CHANGES)
    );
    assert_eq!(changes.since(changes.count()).map(Iterator::count), Some(0));
}
