//! The slots of connected clients.

use super::*;

fn occupied(slots: &mut ClientSlots, kind: ListenerKind) -> usize {
    let mut occupied = 0;
    while slots.has_free(kind) {
        slots.occupy(kind);
        occupied += 1;
    }
    occupied
}

#[test]
fn secondary_clients_leave_platform_slots_free() {
    let mut slots = ClientSlots::new(true);
    slots.set_max_descriptors(200);
    assert_eq!(occupied(&mut slots, ListenerKind::Webhook), 25);
    assert!(!slots.has_free(ListenerKind::Admin));
    assert_eq!(occupied(&mut slots, ListenerKind::Platform), 75);
    slots.release(ListenerKind::Webhook);
    assert!(slots.has_free(ListenerKind::Admin) && !slots.has_free(ListenerKind::Platform));
}

#[test]
fn few_descriptors_still_leave_minimum_slots() {
    let mut slots = ClientSlots::new(false);
    slots.set_max_descriptors(4);
    assert_eq!(occupied(&mut slots, ListenerKind::Platform), 8);
    assert!(!slots.has_free(ListenerKind::Webhook));
}
