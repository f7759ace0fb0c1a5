//! Tests of `operations::hot_restart`.

use super::*;
use proptest::prelude::*;

fn sample_state() -> SiblingState {
    let exclusions = [
        ("s-1".to_owned(), (true, 7)),
        ("s-2".to_owned(), (false, 9)),
    ];
    let known_workers = vec!["s-1".into(), "s-2".into(), "s-3".into()];
    SiblingState {
        gateway: "n3".into(),
        state: ProcessState::Ready,
        list_revision: 41,
        observed_capacity: 24.5,
        exclusions: exclusions.into(),
        known_workers,
        evidence: BTreeMap::new(),
    }
}

#[test]
fn written_state_is_read_and_damage_is_refused() {
    let text = sample_state().encode();
    assert_eq!(
        SiblingState::decode(text.as_bytes(), "n3", true, 0),
        Ok(sample_state())
    );
    for cut in 0..text.len() {
        assert!(
            SiblingState::decode(&text.as_bytes()[..cut], "n3", true, 0).is_err(),
            "cut at {cut}"
        );
    }
    for at in 0..text.len() {
        let mut bad = text.clone().into_bytes();
        bad[at] ^= 1;
        assert!(
            SiblingState::decode(&bad, "n3", true, 0).is_err(),
            "changed at {at}"
        );
    }
    let read = |text: &str, name, alive, age| {
        SiblingState::decode(text.as_bytes(), name, alive, age).unwrap_err()
    };
    assert_eq!(
        read(&text, "n4", true, 0),
        HotRestartError::OtherGateway("n3".into())
    );
    assert_eq!(
        read(&text, "n3", false, ABANDONED_AFTER + 1),
        HotRestartError::Abandoned
    );
    assert!(
        SiblingState::decode(text.as_bytes(), "n3", true, ABANDONED_AFTER + 1).is_ok(),
        "a running process's state is used"
    );
    assert!(
        SiblingState::decode(text.as_bytes(), "n3", false, ABANDONED_AFTER).is_ok(),
        "so is that of a process just killed"
    );
    let newer = text.replace("handover 1", "handover 2");
    assert!(matches!(
        read(&newer, "n3", true, 0),
        HotRestartError::Version(_)
    ));
    let body = "molelug-handover 1\ngateway n3\nlanes 4\n";
    let unknown = format!("{body}sum {}\n", checksum(body));
    assert_eq!(
        read(&unknown, "n3", true, 0),
        HotRestartError::UnknownLine("lanes 4".into())
    );
    assert_eq!(
        SiblingState::decode(&vec![b'a'; MAX_STATE_BYTES + 1], "n3", true, 0),
        Err(HotRestartError::TooLarge)
    );
}

#[test]
fn names_not_encodable_are_omitted_and_largest_text_is_read() {
    let mut state = sample_state();
    state.exclusions.insert("a b".into(), (true, 1));
    state.known_workers.push("x\ny".into());
    assert_eq!(
        SiblingState::decode(state.encode().as_bytes(), "n3", true, 0),
        Ok(sample_state())
    );
    let name = |n: usize| format!("{n:0>MAX_NAME_BYTES$}");
    state.known_workers = (0..MAX_WORKERS_SEEN).map(name).collect();
    state.exclusions = (0..MAX_WORKERS_SEEN)
        .map(|n| (name(n), (true, Micros::MAX)))
        .collect();
    assert!(SiblingState::decode(state.encode().as_bytes(), "n3", true, 0).is_ok());
}

#[test]
fn sibling_takes_over_only_while_ready_and_running() {
    let mut others = SiblingProcesses::default();
    let living = BTreeSet::from([8]);
    assert!(others.retain_living(&living) && !others.retain_living(&living));
    assert_eq!(
        (others.process_count(), others.any_is_ready()),
        (2, false),
        "it has shared nothing yet"
    );
    others.update(
        8,
        SiblingState {
            state: ProcessState::Starting,
            ..sample_state()
        },
    );
    assert!(!others.any_is_ready());
    others.update(8, sample_state());
    assert!(others.any_is_ready() && others.latest_list_revision() == 41);
    others.update(
        8,
        SiblingState {
            state: ProcessState::Stopping,
            ..sample_state()
        },
    );
    assert!(!others.any_is_ready());
    others.update(8, sample_state());
    assert!(others.retain_living(&BTreeSet::new()));
    assert_eq!(
        (
            others.process_count(),
            others.any_is_ready(),
            others.latest_list_revision()
        ),
        (1, false, 0)
    );
    assert_eq!(
        others.observed_capacity(),
        24.5,
        "the observed capacity outlives the process that reported it"
    );
}

/// The limits on loads and on overload apply to a gateway, whatever its number of processes.
#[test]
fn two_processes_have_the_limits_of_one_together() {
    let limit = LoadRateLimit {
        window: 10,
        base_loads: 3.0,
        loads_per_request: 0.3,
    };
    let settings = Settings {
        load_rate_limit: Some(limit),
        overload_multiple: 3.0,
        ..Settings::default()
    };
    let mut others = SiblingProcesses::default();
    assert_eq!(others.limits(&settings), (Some(limit), 3.0));
    others.retain_living(&BTreeSet::from([8, 9]));
    assert_eq!(
        others.limits(&settings),
        (
            Some(LoadRateLimit {
                base_loads: 1.0,
                ..limit
            }),
            1.0
        )
    );
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(SiblingState::decode(&bytes, "n3", true, 0).is_err());
    }
}

#[test]
fn evidence_is_shared_and_older_texts_still_decode() {
    let old = sample_state();
    let with_evidence = SiblingState {
        evidence: [("s-1".to_owned(), 120_000), ("s-3".to_owned(), 0)].into(),
        ..sample_state()
    };
    let text = with_evidence.encode();
    assert_eq!(
        SiblingState::decode(text.as_bytes(), "n3", true, 0),
        Ok(with_evidence)
    );
    assert!(
        !old.encode().contains("served"),
        "the form without evidence"
    );
    assert_eq!(
        SiblingState::decode(old.encode().as_bytes(), "n3", true, 0),
        Ok(old)
    );
}
