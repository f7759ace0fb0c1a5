use super::*;
use crate::lease::ledger;

const SECOND: Micros = 1_000_000;

fn entry(term: u64) -> Entry {
    Entry::Lease(ledger::Entry::Grant {
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

#[test]
fn a_silent_voter_is_left_for_the_next_and_one_question_is_out_at_a_time() {
    let mut f = Learner::new(vec!["a".into(), "b".into()], None, 0);
    assert!(f.poll(0).is_some() && f.poll(1).is_none());
    assert_eq!(&**f.asks().unwrap(), "a");
    assert!(f.poll(SILENT).is_some_and(|(_, silent)| silent));
    assert_eq!(&**f.asks().unwrap(), "b");
    f.entries(0, Vec::new(), (1, 0, Vec::new()));
    assert!(f.poll(SILENT + 1).is_some_and(|(_, silent)| !silent));
    f.lost(SILENT + 2);
    assert_eq!(&**f.asks().unwrap(), "a");
    assert!(f.poll(SILENT + 3).is_none(), "not at once: all may be away");
    assert!(f.poll(SILENT + SECOND).is_some());
}

#[test]
fn entries_are_applied_once_and_in_order() {
    let mut f = Learner::new(vec!["a".into()], None, 0);
    let state = State {
        generation: 1,
        applied: 4,
        ..State::default()
    };
    assert!(f.restored(state.clone(), (1, 0, Vec::new())).restored);
    assert!(
        !f.restored(state, (1, 0, Vec::new())).restored,
        "the same again is no news"
    );
    let news = f.entries(
        1,
        vec![(4, entry(9)), (5, entry(1)), (7, entry(3))],
        (1, 0, Vec::new()),
    );
    assert_eq!(news.applied, [(5, entry(1), true)]);
    assert_eq!(
        f.entries(2, vec![(6, entry(2))], (1, 0, Vec::new()))
            .applied,
        [],
        "of another generation"
    );
    let older = State {
        generation: 1,
        applied: 3,
        ..State::default()
    };
    assert!(!f.restored(older, (1, 0, Vec::new())).restored);
}

#[test]
fn an_answer_waits_for_news_and_no_longer_than_it_may() {
    let (mut v, state) = (
        LearnerProgress::default(),
        State {
            applied: 5,
            ..State::default()
        },
    );
    let poll = Poll {
        generation: 0,
        applied: 5,
        passed: (9, 0),
        seat: None,
    };
    v.asked(0, "f", poll.clone());
    assert!(v.due(1, 9, &state).is_empty());
    assert_eq!(v.next_deadline(), Some(WAITS));
    assert_eq!(v.due(WAITS, 9, &state).len(), 1);
    v.asked(0, "f", poll.clone());
    v.pass(effect(1));
    let due = v.due(1, 9, &state);
    assert_eq!(due.len(), 1);
    assert_eq!(v.since(9, &due[0].1), (9, 1, vec![effect(1)]));
    // One that has it, one of another process, and one that was away for long.
    assert_eq!(
        v.since(
            9,
            &Poll {
                passed: (9, 1),
                ..poll.clone()
            }
        )
        .2,
        []
    );
    assert_eq!(
        v.since(
            9,
            &Poll {
                passed: (8, 70),
                ..poll.clone()
            }
        )
        .2
        .len(),
        1
    );
    (2..200).for_each(|n| v.pass(effect(n)));
    let (_, number, passed) = v.since(9, &poll);
    assert_eq!(
        (number, passed.len(), passed[0].number),
        (199, MAX_FORWARDED_EFFECTS, 136)
    );
}
