//! Tests of the removal of workers from the list.

use super::*;
use crate::api::{CellId, ZoneId};
use crate::discovery::tests::{names, watch_event_json};
use crate::discovery::Endpoint;

#[test]
fn removed_workers_are_forgotten_once_unused() {
    let mut list = EndpointList::default();
    for n in 0..1000u32 {
        let text =
            |n: u32, status| watch_event_json(status).replace("00c41f7a", &format!("{n:08x}"));
        list.apply(&WatchEvent::parse(&text(n, "SERVING"), &names()).unwrap());
        let old = n.saturating_sub(3);
        list.apply(&WatchEvent::parse(&text(old, "DELETED"), &names()).unwrap());
        list.forget_removed(|w| *w == WorkerId(7));
    }
    assert!(list.len() == 4 && list.addresses.len() == 4 && list.names.len() == 4);
    assert!(
        list.addresses.contains_key(&WorkerId(7)),
        "a removed worker in use is kept"
    );
    // A snapshot is complete: workers that it does not list have been removed.
    let snapshot = watch_event_json("SERVING").replace("\"snapshot\":false", "\"snapshot\":true");
    list.apply(&WatchEvent::parse(&snapshot, &names()).unwrap());
    list.forget_removed(|_| false);
    assert_eq!(
        list.addresses.keys().collect::<Vec<_>>(),
        [&WorkerId(0x00c4_1f7a)]
    );
}

/// An update that names this worker at this address.
fn naming(name: &str, port: u16, status: WorkerStatus) -> WatchEvent {
    WatchEvent {
        revision: 1,
        snapshot: false,
        endpoints: vec![Endpoint {
            name: name.to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            zone: ZoneId(0),
            cell: CellId(0),
            status,
            capacity: 1.0,
            started_at: None,
        }],
    }
}

#[test]
fn newcomer_supersedes_whoever_was_at_its_address() {
    let mut list = EndpointList::default();
    let former = naming("s-00000001", 1, WorkerStatus::Ready);
    assert!(list.superseded_by(&former).is_empty());
    list.apply(&former);
    let repeated = naming("s-00000001", 1, WorkerStatus::Draining);
    assert!(list.superseded_by(&repeated).is_empty());
    let draining = naming("s-00000002", 1, WorkerStatus::Draining);
    assert!(list.superseded_by(&draining).is_empty(), "it never started");
    let newcomer = naming("s-00000002", 1, WorkerStatus::Ready);
    let superseded = list.superseded_by(&newcomer);
    assert!(superseded.iter().eq(["s-00000001"]), "{superseded:?}");
    list.apply(&naming("s-00000001", 1, WorkerStatus::Removed));
    assert!(list.superseded_by(&newcomer).is_empty(), "it was removed");
}

#[test]
fn worker_that_moves_to_another_address_leaves_its_own() {
    let mut list = EndpointList::default();
    list.apply(&naming("s-00000001", 1, WorkerStatus::Ready));
    list.apply(&naming("s-00000001", 2, WorkerStatus::Ready));
    let at_former_address = naming("s-00000002", 1, WorkerStatus::Ready);
    assert!(list.superseded_by(&at_former_address).is_empty());
    let at_new_address = naming("s-00000003", 2, WorkerStatus::Ready);
    assert_eq!(list.superseded_by(&at_new_address).len(), 1);
}
