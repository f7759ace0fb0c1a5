//! Tests of learners and of the polls held by a voter.

use super::{Learner, LearnerProgress, ANSWER_TIMEOUT, MAX_FORWARDED_EFFECTS, POLL_WAIT_TIMEOUT};
use crate::api::Micros;
use crate::consensus::state::{AppliedEntry, Entry, State};
use crate::consensus::wire::{ForwardedEffects, LeaseEffect, Poll};
use crate::lease::table;

const ONE_SECOND: Micros = 1_000_000;

fn entry(term: u64) -> Entry {
    Entry::Lease(table::Entry::Grant {
        lease: "d".into(),
        holder: crate::lease::LeaseHolder {
            name: "a".into(),
            incarnation: 1,
        },
        term,
    })
}

fn effect(number: u64) -> LeaseEffect {
    LeaseEffect {
        lease: "d".into(),
        term: 1,
        holder: "a".into(),
        number,
        content: Vec::new(),
    }
}

fn no_effects() -> ForwardedEffects {
    ForwardedEffects {
        process: 1,
        ..ForwardedEffects::default()
    }
}

#[test]
fn learner_sends_one_poll_and_replaces_silent_voter() {
    let mut learner = Learner::new(vec!["a".into(), "b".into()], None, 0);
    assert!(learner.poll(0).is_some() && learner.poll(1).is_none());
    assert_eq!(&**learner.source().unwrap(), "a");
    assert!(learner
        .poll(ANSWER_TIMEOUT)
        .is_some_and(|(_, timed_out)| timed_out));
    assert_eq!(&**learner.source().unwrap(), "b");
    learner.on_entries(0, Vec::new(), no_effects());
    assert!(learner
        .poll(ANSWER_TIMEOUT + 1)
        .is_some_and(|(_, timed_out)| !timed_out));
    learner.on_disconnected(ANSWER_TIMEOUT + 2);
    assert_eq!(&**learner.source().unwrap(), "a");
    assert!(
        learner.poll(ANSWER_TIMEOUT + 3).is_none(),
        "the next poll waits, as all voters may be down"
    );
    assert!(learner.poll(ANSWER_TIMEOUT + ONE_SECOND).is_some());
}

#[test]
fn entries_are_applied_once_and_in_order() {
    let mut learner = Learner::new(vec!["a".into()], None, 0);
    let state = State {
        generation: 1,
        applied: 4,
        ..State::default()
    };
    assert!(learner.on_state(state.clone(), no_effects()).restored);
    assert!(
        !learner.on_state(state, no_effects()).restored,
        "the same state again changes nothing"
    );
    let catch_up = learner.on_entries(
        1,
        vec![(4, entry(9)), (5, entry(1)), (7, entry(3))],
        no_effects(),
    );
    assert_eq!(
        catch_up.applied,
        [AppliedEntry {
            index: 5,
            entry: entry(1),
            took_effect: true,
        }]
    );
    assert_eq!(
        learner
            .on_entries(2, vec![(6, entry(2))], no_effects())
            .applied,
        [],
        "entries of another generation are ignored"
    );
    let older = State {
        generation: 1,
        applied: 3,
        ..State::default()
    };
    assert!(!learner.on_state(older, no_effects()).restored);
}

#[test]
fn poll_waits_for_changes_or_timeout() {
    let (mut progress, state) = (
        LearnerProgress::default(),
        State {
            applied: 5,
            ..State::default()
        },
    );
    let poll = Poll {
        generation: 0,
        applied: 5,
        effects: (9, 0),
        replica: None,
    };
    progress.on_poll(0, "f", poll.clone());
    assert!(progress.due(1, 9, &state).is_empty());
    assert_eq!(progress.next_deadline(), Some(POLL_WAIT_TIMEOUT));
    assert_eq!(progress.due(POLL_WAIT_TIMEOUT, 9, &state).len(), 1);
    progress.on_poll(0, "f", poll.clone());
    progress.forward(effect(1));
    let due = progress.due(1, 9, &state);
    assert_eq!(due.len(), 1);
    assert_eq!(
        progress.effects_since(9, &due[0].1),
        ForwardedEffects {
            process: 9,
            count: 1,
            effects: vec![effect(1)],
        }
    );
}

#[test]
fn learner_gets_the_effects_that_it_misses() {
    let mut progress = LearnerProgress::default();
    progress.forward(effect(1));
    let poll = Poll {
        generation: 0,
        applied: 5,
        effects: (9, 0),
        replica: None,
    };
    // A learner that has the effect, one whose last effects came from another process, and one that missed many effects.
    let up_to_date = Poll {
        effects: (9, 1),
        ..poll.clone()
    };
    assert_eq!(progress.effects_since(9, &up_to_date).effects, []);
    let from_other_process = Poll {
        effects: (8, 70),
        ..poll.clone()
    };
    let effects = progress.effects_since(9, &from_other_process).effects;
    assert_eq!(effects.len(), 1);
    (2..200).for_each(|n| progress.forward(effect(n)));
    let forwarded = progress.effects_since(9, &poll);
    assert_eq!(
        (
            forwarded.count,
            forwarded.effects.len(),
            forwarded.effects[0].number
        ),
        (199, MAX_FORWARDED_EFFECTS, 136)
    );
}
