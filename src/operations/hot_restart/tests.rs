//! Tests of `operations::hot_restart`.

use super::*;
use proptest::prelude::*;

fn word() -> SiblingState {
    let bans = [
        ("s-1".to_owned(), (true, 7)),
        ("s-2".to_owned(), (false, 9)),
    ];
    let seen = vec!["s-1".into(), "s-2".into(), "s-3".into()];
    SiblingState {
        gateway: "n3".into(),
        state: State::Ready,
        rev: 41,
        bears: 24.5,
        bans: bans.into(),
        seen,
    }
}

#[test]
fn what_is_written_is_read_and_every_damage_is_told() {
    let text = word().text();
    assert_eq!(
        SiblingState::read(text.as_bytes(), "n3", true, 0),
        Ok(word())
    );
    for cut in 0..text.len() {
        assert!(
            SiblingState::read(&text.as_bytes()[..cut], "n3", true, 0).is_err(),
            "cut at {cut}"
        );
    }
    for at in 0..text.len() {
        let mut bad = text.clone().into_bytes();
        bad[at] ^= 1;
        assert!(
            SiblingState::read(&bad, "n3", true, 0).is_err(),
            "changed at {at}"
        );
    }
    let read = |text: &str, name, alive, age| {
        SiblingState::read(text.as_bytes(), name, alive, age).unwrap_err()
    };
    assert_eq!(
        read(&text, "n4", true, 0),
        HotRestartError::Foreign("n3".into())
    );
    assert_eq!(
        read(&text, "n3", false, ABANDONED_AFTER + 1),
        HotRestartError::LongDead
    );
    assert!(
        SiblingState::read(text.as_bytes(), "n3", true, ABANDONED_AFTER + 1).is_ok(),
        "a living one's counts"
    );
    assert!(
        SiblingState::read(text.as_bytes(), "n3", false, ABANDONED_AFTER).is_ok(),
        "one just killed, too"
    );
    let newer = text.replace("handover 1", "handover 2");
    assert!(matches!(
        read(&newer, "n3", true, 0),
        HotRestartError::Version(_)
    ));
    let body = "molelug-handover 1\ngateway n3\nlanes 4\n";
    let odd = format!("{body}sum {}\n", sum(body));
    assert_eq!(
        read(&odd, "n3", true, 0),
        HotRestartError::Line("lanes 4".into())
    );
    assert_eq!(
        SiblingState::read(&vec![b'a'; MAX_STATE_BYTES + 1], "n3", true, 0),
        Err(HotRestartError::TooLarge)
    );
}

#[test]
fn names_that_would_break_a_line_are_left_out_and_the_largest_text_can_be_read() {
    let mut w = word();
    w.bans.insert("a b".into(), (true, 1));
    w.seen.push("x\ny".into());
    assert_eq!(
        SiblingState::read(w.text().as_bytes(), "n3", true, 0),
        Ok(word())
    );
    let name = |n: usize| format!("{n:0>MAX_NAME_BYTES$}");
    w.seen = (0..MAX_WORKERS_SEEN).map(name).collect();
    w.bans = (0..MAX_WORKERS_SEEN)
        .map(|n| (name(n), (true, Micros::MAX)))
        .collect();
    assert!(SiblingState::read(w.text().as_bytes(), "n3", true, 0).is_ok());
}

#[test]
fn another_process_takes_over_only_once_it_is_ready_and_while_it_lives() {
    let mut others = SiblingProcesses::default();
    let living = BTreeSet::from([8]);
    assert!(others.only(&living) && !others.only(&living));
    assert_eq!(
        (others.processes(), others.take_over()),
        (2, false),
        "it has told nothing yet"
    );
    others.heard(
        8,
        SiblingState {
            state: State::Starting,
            ..word()
        },
    );
    assert!(!others.take_over());
    others.heard(8, word());
    assert!(others.take_over() && others.rev() == 41);
    others.heard(
        8,
        SiblingState {
            state: State::Ending,
            ..word()
        },
    );
    assert!(!others.take_over());
    others.heard(8, word());
    assert!(others.only(&BTreeSet::new()));
    assert_eq!(
        (others.processes(), others.take_over(), others.rev()),
        (1, false, 0)
    );
    assert_eq!(
        others.bears(),
        24.5,
        "what workers bear does not end with who saw it"
    );
}

/// Guards the rules on loads and cold workers, which see one gateway in two processes.
#[test]
fn two_processes_have_the_limits_of_one_together() {
    let ration = LoadRateLimit {
        window: 10,
        base_loads: 3.0,
        loads_per_request: 0.3,
    };
    let settings = Settings {
        load_rate_limit: Some(ration),
        overload_multiple: 3.0,
        ..Settings::default()
    };
    let mut others = SiblingProcesses::default();
    assert_eq!(others.limits(&settings), (Some(ration), 3.0));
    others.only(&BTreeSet::from([8, 9]));
    assert_eq!(
        others.limits(&settings),
        (
            Some(LoadRateLimit {
                base_loads: 1.0,
                ..ration
            }),
            1.0
        )
    );
}

proptest! {
    #[test]
    fn no_bytes_make_it_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(SiblingState::read(&bytes, "n3", true, 0).is_err());
    }
}
