use super::*;

const OFFSET: i64 = 5_000_000;

/// A loop whose last pass began at 1 s, took 1 ms, and waited for 100 ms.
fn after_wait(ended_at: Micros) -> ArrivalDating {
    let mut dating = ArrivalDating::new(0, OFFSET);
    dating.begin_pass(1_000_000, None, OFFSET);
    dating.end_pass(1_001_000);
    dating.begin_pass(ended_at, Some(1_101_000), OFFSET);
    dating
}

fn received(at: Micros) -> Option<ReceptionTime> {
    Some(ReceptionTime(at + OFFSET as Micros))
}

#[test]
fn input_of_a_loop_that_was_not_held_is_new() {
    let dating = after_wait(1_050_000);
    assert!(!dating.needs_reception_times());
    assert_eq!(dating.of_input(1_050_200, None), 1_050_000);
    assert_eq!(dating.of_accepted(1_050_200, None), 1_050_200);
}

#[test]
fn input_after_a_late_wake_up_is_dated_as_early_as_possible() {
    let dating = after_wait(2_001_000);
    assert!(dating.needs_reception_times());
    assert_eq!(dating.of_input(2_002_000, None), 1_000_000);
    assert_eq!(dating.of_accepted(2_002_000, None), 1_000_000);
}

#[test]
fn time_of_reception_is_used_within_what_the_loop_knows() {
    let dating = after_wait(2_001_000);
    assert_eq!(dating.of_input(2_002_000, received(1_700_000)), 1_700_000);
    assert_eq!(dating.of_input(2_002_000, received(900_000)), 1_000_000);
    assert_eq!(dating.of_input(2_002_000, received(9_000_000)), 2_001_000);
}

#[test]
fn time_of_reception_is_ignored_after_the_clock_was_set() {
    let mut dating = after_wait(1_050_000);
    dating.end_pass(1_051_000);
    let hour = 3_600_000_000;
    dating.begin_pass(2_000_000, Some(1_151_000), OFFSET + hour);
    assert_eq!(dating.of_input(2_000_000, received(1_900_000)), 1_050_000);
}

#[test]
fn input_after_a_long_pass_may_have_arrived_at_its_start() {
    let mut dating = after_wait(1_050_000);
    dating.end_pass(1_450_000);
    dating.begin_pass(1_450_000, Some(1_450_000), OFFSET);
    assert_eq!(dating.of_input(1_450_000, None), 1_050_000);
}

#[test]
fn client_that_waited_for_a_slot_is_dated_from_the_last_empty_queue() {
    let mut dating = after_wait(1_050_000);
    dating.note_queue(1_050_000, true);
    dating.note_queue(1_060_000, false);
    dating.end_pass(1_060_000);
    dating.begin_pass(1_160_000, Some(1_160_000), OFFSET);
    assert!(dating.needs_reception_times());
    assert_eq!(dating.of_accepted(1_161_000, None), 1_050_000);
    assert_eq!(
        dating.of_accepted(1_161_000, received(1_155_000)),
        1_155_000
    );
}

/// The process is stopped after the events of a pass were reported: what arrives meanwhile is
/// reported to the pass after it.
#[test]
fn input_of_the_pass_after_a_late_wait_is_dated_from_the_wait() {
    const WAIT_BEGAN_AT: Micros = 1_000_000;
    const WOKE_AT: Micros = 1_900_000;
    let mut arrivals = ArrivalDating::new(WAIT_BEGAN_AT, 0);
    arrivals.end_pass(WAIT_BEGAN_AT);
    arrivals.begin_pass(WOKE_AT, Some(WAIT_BEGAN_AT + 4_000), 0);
    arrivals.end_pass(WOKE_AT + 100);
    let next = WOKE_AT + 200;
    arrivals.begin_pass(next, Some(next), 0);
    assert!(arrivals.needs_reception_times());
    assert_eq!(arrivals.of_input(next, None), WAIT_BEGAN_AT);
    assert_eq!(arrivals.of_accepted(next, None), WAIT_BEGAN_AT);
    let received = ReceptionTime(1_350_000);
    assert_eq!(arrivals.of_accepted(next, Some(received)), 1_350_000);
    arrivals.end_pass(next + 100);
    let later = next + 5_000;
    arrivals.begin_pass(later, Some(later), 0);
    assert!(!arrivals.needs_reception_times());
    assert_eq!(arrivals.of_input(later, None), later);
}
