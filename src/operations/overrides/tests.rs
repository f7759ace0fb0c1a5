//! Tests of `operations::overrides`.

use super::*;
use crate::api::{CellId, WorkerId, ZoneId};
use proptest::prelude::*;

fn worker_entry(id: u32, status: WorkerStatus) -> WorkerEntry {
    WorkerEntry {
        worker: WorkerId(id),
        zone: ZoneId(0),
        cell: CellId(0),
        status,
        capacity: 1.0,
        started_at: None,
    }
}

fn list(
    u: &mut WorkerOverrides,
    is_snapshot: bool,
    name: &str,
    status: WorkerStatus,
) -> WorkerStatus {
    u.apply_list(is_snapshot, [(name, worker_entry(1, status))])
        .remove(0)
        .status
}

#[test]
fn exclusion_outlives_list_updates_until_included() {
    let mut u = WorkerOverrides::default();
    let never = Err(OverrideError::NeverListed);
    assert!(u.exclude("s-1", 5) == never && u.include("s-1", 1) == never);
    assert_eq!(
        list(&mut u, true, "s-1", WorkerStatus::Ready),
        WorkerStatus::Ready
    );
    assert_eq!(
        u.exclude("s-1", 5).unwrap().unwrap().status,
        WorkerStatus::Draining
    );
    assert!(
        u.exclude("s-1", 5).unwrap().is_none(),
        "a repeated exclusion changes nothing"
    );
    assert_eq!(
        list(&mut u, false, "s-1", WorkerStatus::Ready),
        WorkerStatus::Draining
    );
    assert_eq!(
        list(&mut u, false, "s-1", WorkerStatus::Removed),
        WorkerStatus::Removed
    );
    assert_eq!(
        list(&mut u, true, "s-2", WorkerStatus::Ready),
        WorkerStatus::Ready,
        "a snapshot without s-1"
    );
    assert_eq!(
        list(&mut u, false, "s-1", WorkerStatus::Ready),
        WorkerStatus::Draining,
        "listed again"
    );
    let back = u.include("s-1", 77).unwrap().unwrap();
    assert_eq!(
        (back.status, back.started_at),
        (WorkerStatus::Ready, Some(77)),
        "it returns in slow start"
    );
    assert!(u.include("s-1", 80).unwrap().is_none());
    assert_eq!(
        list(&mut u, false, "s-1", WorkerStatus::Ready),
        WorkerStatus::Ready
    );
}

#[test]
fn removed_worker_can_be_excluded_and_draining_stays() {
    let mut u = WorkerOverrides::default();
    list(&mut u, true, "s-1", WorkerStatus::Ready);
    list(&mut u, false, "s-1", WorkerStatus::Removed);
    assert!(u.exclude("s-1", 5).unwrap().is_none() && u.is_excluded("s-1"));
    list(&mut u, false, "s-2", WorkerStatus::Draining);
    u.exclude("s-2", 5).unwrap();
    assert_eq!(
        u.include("s-2", 9).unwrap().unwrap().status,
        WorkerStatus::Draining
    );
}

#[test]
fn oldest_names_are_forgotten_unless_excluded_or_listed() {
    let mut u = WorkerOverrides::default();
    list(&mut u, true, "banned", WorkerStatus::Ready);
    u.exclude("banned", 5).unwrap();
    list(&mut u, false, "banned", WorkerStatus::Removed);
    list(&mut u, false, "listed", WorkerStatus::Ready);
    for n in 0..3 * MAX_WORKERS_SEEN {
        let name = format!("s-{n}");
        list(&mut u, false, &name, WorkerStatus::Ready);
        list(&mut u, false, &name, WorkerStatus::Removed);
    }
    assert!(u.departed.len() <= MAX_WORKERS_SEEN && u.departed.iter().count() == u.departed.len());
    assert!(
        u.is_excluded("banned")
            && u.is_known("listed")
            && u.is_known("s-3000")
            && !u.is_known("s-1")
    );
    u.remember(&"x".repeat(MAX_NAME_BYTES + 1));
    assert!(!u.is_known(&"x".repeat(MAX_NAME_BYTES + 1)));
}

#[test]
fn listed_workers_beyond_the_bound_cost_nothing_per_new_name() {
    let mut u = WorkerOverrides::default();
    let names: Vec<String> = (0..4 * MAX_WORKERS_SEEN)
        .map(|n| format!("s-{n}"))
        .collect();
    let entry = worker_entry(1, WorkerStatus::Ready);
    u.apply_list(
        true,
        names.iter().map(|name| (name.as_str(), entry.clone())),
    );
    assert_eq!(u.departed.len(), 0, "listed names wait in no queue");
    assert!(names.iter().all(|name| u.is_known(name)));
    u.apply_list(true, [("s-0", entry)]);
    assert_eq!(u.departed.len(), MAX_WORKERS_SEEN);
    assert_eq!(u.seen().count(), MAX_WORKERS_SEEN);
}

#[test]
fn excluded_workers_that_left_stay_known_and_wait_in_no_queue() {
    let mut u = WorkerOverrides::default();
    for n in 0..MAX_WORKERS_SEEN {
        let name = format!("s-{n}");
        list(&mut u, false, &name, WorkerStatus::Ready);
        u.exclude(&name, 5).unwrap();
        list(&mut u, false, &name, WorkerStatus::Removed);
    }
    assert_eq!(u.departed.len(), 0);
    u.include("s-7", 9).unwrap();
    assert_eq!(u.departed.iter().collect::<Vec<_>>(), ["s-7"]);
    list(&mut u, false, "s-7", WorkerStatus::Ready);
    assert!(u.departed.len() == 0 && u.is_known("s-7") && u.is_excluded("s-8"));
}

proptest! {
    /// Two processes that merge the same changes in any order, some twice, agree on the exclusions.
    #[test]
    fn merge_order_does_not_matter(
        changes in proptest::collection::vec((0..3usize, any::<bool>(), 0..6u64), 0..20),
        rotation in any::<prop::sample::Index>(),
    ) {
        let names = ["a", "b", "c"];
        let merged = |changes: &[(usize, bool, u64)]| {
            let mut u = WorkerOverrides::default();
            for (n, excluded, at) in changes {
                u.merge(names[*n], *excluded, *at, 9);
            }
            u.bans().clone()
        };
        let mut other = changes.clone();
        if !other.is_empty() {
            let by = rotation.index(other.len());
            other.rotate_left(by);
            other.extend_from_within(..by);
        }
        prop_assert_eq!(merged(&changes), merged(&other));
    }

    /// Compares with a simple model: a worker is reported as ready only if it is listed as ready
    /// and not excluded.
    #[test]
    fn effective_state_combines_list_and_exclusions(
        steps in proptest::collection::vec((0..6u8, 0..4usize), 0..60),
    ) {
        let names = ["a", "b", "c", "d"];
        let mut u = WorkerOverrides::default();
        let (mut ready, mut excluded, mut known) = ([false; 4], [false; 4], [false; 4]);
        let mut reported = [false; 4];
        for (step, n) in steps {
            let entries = match step {
                0..=2 => {
                    let status = [WorkerStatus::Ready, WorkerStatus::Draining, WorkerStatus::Removed][step as usize];
                    (ready[n], known[n]) = (step == 0, true);
                    u.apply_list(false, [(names[n], worker_entry(n as u32, status))])
                }
                3 => {
                    ready = [false; 4];
                    (ready[n], known[n]) = (true, true);
                    reported = [false; 4];
                    u.apply_list(true, [(names[n], worker_entry(n as u32, WorkerStatus::Ready))])
                }
                4 => {
                    let got = u.exclude(names[n], 5);
                    prop_assert_eq!(got.is_ok(), known[n]);
                    excluded[n] |= known[n];
                    got.ok().flatten().into_iter().collect()
                }
                _ => {
                    let got = u.include(names[n], 5);
                    prop_assert_eq!(got.is_ok(), known[n]);
                    excluded[n] = false;
                    got.ok().flatten().into_iter().collect()
                }
            };
            for entry in entries {
                reported[entry.worker.0 as usize] = entry.status == WorkerStatus::Ready;
            }
            for n in 0..4 {
                prop_assert_eq!(reported[n], ready[n] && !excluded[n]);
            }
        }
    }
}
