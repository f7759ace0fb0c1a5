//! Emulator scenarios: runs are deterministic, and the checker of real histories judges them.

use std::path::Path;

use molelug_testbed::emulator::{play, Scenario};

fn scenario(name: &str) -> Scenario {
    Scenario::read(
        &Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("scenarios")
            .join(name),
    )
    .unwrap()
}

#[test]
fn runs_are_deterministic_for_each_seed() {
    let s = Scenario {
        seconds: 12.0,
        ..scenario("owner.toml")
    };
    let text = |seed| serde_json::to_string(&play(&s, seed).unwrap()).unwrap();
    let (one, again, other) = (text(1), text(1), text(2));
    assert_eq!(one, again);
    assert_ne!(one, other);
}

/// The owner is stopped, continued, cut off and killed, with frames lost and duplicated: the
/// history has no violation, and each time another instance owns the duty.
#[test]
fn failing_owners_leave_a_sound_history() {
    for seed in 1..=2 {
        let result = play(&scenario("owner.toml"), seed).unwrap();
        assert_eq!(result.wrong, Vec::<String>::new(), "seed {seed}");
        assert!(
            result.terms >= 4 && result.accepted > 100,
            "seed {seed}: {result:?}"
        );
    }
}

/// With duties the fleet sends fewer load orders, and serves nearly the same share of calls or
/// more.
#[test]
fn duties_avoid_redundant_load_orders() {
    let s = Scenario {
        seconds: 10.0,
        instances: 12,
        ..scenario("loads.toml")
    };
    let (with, without) = (
        play(&s, 1).unwrap(),
        play(
            &Scenario {
                council: false,
                ..s.clone()
            },
            1,
        )
        .unwrap(),
    );
    assert_eq!(with.wrong, Vec::<String>::new());
    assert!(
        with.spared > 0 && with.orders < without.orders,
        "{with:?} {without:?}"
    );
    let share = |r: &molelug_testbed::emulator::RunReport| r.served as f64 / r.calls as f64;
    assert!(
        share(&with) > share(&without) - 0.03,
        "{} {}",
        share(&with),
        share(&without)
    );
}

#[test]
fn scenario_with_an_unknown_key_is_refused() {
    let folder = std::env::temp_dir().join(format!("molelug-scenario-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("bad.toml");
    let text = std::fs::read_to_string(
        Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/silent.toml"),
    )
    .unwrap();
    std::fs::write(
        &path,
        text.replace("workers = 12", "workers = 12\nworkerz = 3"),
    )
    .unwrap();
    assert!(Scenario::read(&path)
        .unwrap_err()
        .to_string()
        .contains("workerz"));
    std::fs::remove_dir_all(&folder).unwrap();
}
