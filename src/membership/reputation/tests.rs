//! Tests of `membership::reputation`.

use super::*;
use proptest::prelude::*;

const SKEW: Micros = 2 * SECOND;

fn ready(n: u32) -> BTreeSet<WorkerId> {
    (0..n).map(WorkerId).collect()
}

fn ill(at: Micros) -> Observation {
    Observation {
        at,
        silent: 5,
        ..Default::default()
    }
}

fn well(at: Micros) -> Observation {
    Observation {
        at,
        answered: 10,
        ..Default::default()
    }
}

#[test]
fn two_origins_move_a_worker_down_one_does_not_and_own_eyes_come_first() {
    let (mut t, mut r) = (Reputation::new(Bounds::default()), Observations::default());
    r.merge(10, SKEW, "a", WorkerId(1), ill(10));
    assert!(t.advise(10, &r, &ready(8)).is_empty(), "one origin alone");
    r.merge(10, SKEW, "b", WorkerId(1), ill(10));
    assert_eq!(
        t.advise(10, &r, &ready(8)),
        [(WorkerId(1), HealthAdvice::Down(10 + 3 * SECOND))]
    );
    assert!(
        t.advise(11, &r, &ready(8)).is_empty(),
        "said once while it holds"
    );
    let mut t = Reputation::new(Bounds::default());
    t.observe(WorkerId(1), well(10));
    assert!(t.advise(10, &r, &ready(8)).is_empty(), "it answers here");
    assert!(t.weight(10, "a") < FIRST && t.weight(10, "b") < FIRST);
    assert!(
        (t.weight(10 + 600 * SECOND, "a") - FIRST).abs() < 1e-9,
        "regained, slowly"
    );
}

#[test]
fn a_liar_that_calls_all_dead_moves_nobody_and_loses_its_weight() {
    let (mut t, mut r, mut now) = (
        Reputation::new(Bounds::default()),
        Observations::default(),
        SECOND,
    );
    for _ in 0..10 {
        for w in 0..10 {
            r.merge(now, SKEW, "liar", WorkerId(w), ill(now));
            t.observe(WorkerId(w), well(now));
        }
        assert!(t.advise(now, &r, &ready(10)).is_empty());
        now += SECOND;
    }
    assert!(t.weight(now, "liar") < 0.05, "{}", t.weight(now, "liar"));
    // Two liars together, before anything is known of them, meet the panic threshold.
    let mut t = Reputation::new(Bounds::default());
    for w in 0..10 {
        r.merge(now, SKEW, "second", WorkerId(w), ill(now));
        r.merge(now, SKEW, "liar", WorkerId(w), ill(now));
    }
    assert!(t.advise(now, &r, &ready(10)).is_empty() && t.panics == 1);
}

#[test]
fn a_worker_falsely_called_well_gets_a_trial_and_no_more() {
    let (mut t, mut r) = (Reputation::new(Bounds::default()), Observations::default());
    let now = 10 * SECOND;
    t.observe(WorkerId(3), ill(now));
    for origin in ["a", "b", "c"] {
        r.merge(now, SKEW, origin, WorkerId(3), well(now));
    }
    // Own evidence contradicts them at once; three contradicted liars weigh 0.9 together, and then less.
    let first = t.advise(now, &r, &ready(8));
    assert!(first.is_empty() || first == [(WorkerId(3), HealthAdvice::Well)]);
    for round in 1..4 {
        let now = now + round * SECOND;
        t.observe(WorkerId(3), ill(now));
        for origin in ["a", "b", "c"] {
            r.merge(now, SKEW, origin, WorkerId(3), well(now));
        }
        assert!(t.advise(now, &r, &ready(8)).is_empty(), "round {round}");
    }
}

proptest! {
    /// Whatever is said by whomever, never more than the share of ready workers is down, each for a bounded time,
    /// and only workers that are ready.
    #[test]
    fn rumours_never_reach_more_than_the_share(
        claims in prop::collection::vec((0u8..6, 0u32..20, any::<bool>(), 0u64..8), 0..200), n in 1u32..20,
    ) {
        let (mut t, mut r) = (Reputation::new(Bounds::default()), Observations::default());
        let mut down: BTreeMap<WorkerId, Micros> = BTreeMap::new();
        let mut now = SECOND;
        for (origin, w, bad, step) in claims {
            now += step * SECOND / 4;
            let o = if bad { ill(now) } else { well(now) };
            r.merge(now, SKEW, &origin.to_string(), WorkerId(w), o);
            down.retain(|_, until| *until > now);
            for (worker, advice) in t.advise(now, &r, &ready(n)) {
                prop_assert!(worker.0 < n);
                if let HealthAdvice::Down(until) = advice {
                    prop_assert!(until <= now + Bounds::default().hold);
                    down.insert(worker, until);
                }
            }
            prop_assert!(down.len() as f64 <= 0.25 * f64::from(n));
            for origin in 0..6u8 {
                let weight = t.weight(now, &origin.to_string());
                prop_assert!((LEAST..=MOST).contains(&weight));
            }
        }
    }
}
