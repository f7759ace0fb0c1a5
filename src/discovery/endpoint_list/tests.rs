//! Tests of the removal of workers from the list.

use super::*;
use crate::discovery::tests::{names, watch_event_json};

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
